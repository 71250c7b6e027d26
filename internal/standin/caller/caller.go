package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
)

const (
	callTimeout   = 20 * time.Second
	callAttempts  = 40
	firstBackoff  = 50 * time.Millisecond
	progressEvery = 2 * time.Second
)

// Options say which programs to run.
type Options struct {
	VMs        []string
	Key        string
	Model      string
	Service    string
	Programs   int
	Concurrent int
	Turns      int
	Pause      time.Duration
	Seed       uint64
	Progress   io.Writer
}

// Run runs all programs and reports on them.
func Run(ctx context.Context, options Options) *Report {
	report := newReport()
	stop := report.showProgress(options.Progress)
	defer stop()
	vms := newBalancer(options.VMs)
	var wait sync.WaitGroup
	places := make(chan struct{}, options.Concurrent)
	for i := range options.Programs {
		select {
		case places <- struct{}{}:
		case <-ctx.Done():
			report.fail(fmt.Sprintf("stopped after %d programs", i))
			wait.Wait()
			return report
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-places }()
			p := newProgram(options, vms, report, uint64(i))
			p.run(ctx)
		}()
	}
	wait.Wait()
	return report
}

// program is one agent program: model turns with tool calls between them and
// now and then a sub-agent.
type program struct {
	options  Options
	vms      *balancer
	report   *Report
	random   *rand.Rand
	http     *fasthttp.Client
	number   uint64
	id       string
	calls    uint64
	expected []engine.Message
}

func newProgram(options Options, vms *balancer, report *Report, number uint64) *program {
	return &program{
		options: options, vms: vms, report: report, number: number,
		random: rand.New(rand.NewPCG(options.Seed, number)),
		http:   &fasthttp.Client{MaxIdemponentCallAttempts: 1},
	}
}

func (p *program) run(ctx context.Context) {
	start := time.Now()
	if err := p.create(ctx, ""); err != nil {
		p.report.lose(fmt.Sprintf("program %d: create: %v", p.number, err))
		return
	}
	turns := 1 + p.random.IntN(p.options.Turns)
	for turn := range turns {
		if err := p.turn(ctx, turn); err != nil {
			p.report.lose(fmt.Sprintf("program %s turn %d: %v", p.id, turn, err))
			return
		}
	}
	p.end(ctx)
	p.report.finish(time.Since(start), turns)
}

func (p *program) turn(ctx context.Context, turn int) error {
	if err := p.ask(ctx, fmt.Sprintf("program %d turn %d", p.number, turn)); err != nil {
		return err
	}
	pause(ctx, time.Duration(p.random.Int64N(int64(p.options.Pause)+1)))
	switch p.random.IntN(3) {
	case 0:
		return p.order(ctx)
	case 1:
		return p.delegate(ctx)
	default:
		return nil
	}
}

// delegate runs a sub-agent of one turn.
func (p *program) delegate(ctx context.Context) error {
	child := newProgram(p.options, p.vms, p.report, p.number)
	child.random = p.random
	if err := child.create(ctx, p.id); err != nil {
		return fmt.Errorf("sub-agent: %w", err)
	}
	if err := child.ask(ctx, "check a substitute for "+p.id); err != nil {
		return fmt.Errorf("sub-agent: %w", err)
	}
	child.end(ctx)
	return nil
}

func (p *program) create(ctx context.Context, parent string) error {
	body := map[string]any{}
	if parent != "" {
		body["parent"] = parent
		body["budget"] = map[string]any{"calls": 3, "tokens": 5000, "wall_time_ms": 60000}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	answer, err := p.call(ctx, http.MethodPost, "/v1/programs", data, nil)
	if err != nil {
		return err
	}
	var created struct {
		ProgramID string `json:"program_id"`
	}
	if err := json.Unmarshal(answer, &created); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	p.id = created.ProgramID
	return nil
}

func (p *program) end(ctx context.Context) {
	if _, err := p.call(ctx, http.MethodDelete, "/v1/programs/"+p.id, nil, nil); err != nil {
		p.report.fail(fmt.Sprintf("program %s: end: %v", p.id, err))
	}
}

func (p *program) headers() map[string]string {
	p.calls++
	return map[string]string{
		"X-Program-Id": p.id, "X-Call-Number": strconv.FormatUint(p.calls, 10), "X-Program-History": "keep",
	}
}

// ask makes a model call and checks that the engine saw the whole history of
// this program and of no other.
func (p *program) ask(ctx context.Context, text string) error {
	message := engine.Message{Role: "user", Content: text}
	data, err := json.Marshal(map[string]any{
		"model": p.options.Model, "messages": []engine.Message{message}, "max_tokens": 64,
	})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	answer, err := p.call(ctx, http.MethodPost, "/v1/chat/completions", data, p.headers())
	if err != nil {
		return err
	}
	var completion struct {
		Choices []struct {
			Message engine.Message `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer, &completion); err != nil || len(completion.Choices) != 1 {
		return fmt.Errorf("answer %q: not a completion", answer)
	}
	reply := completion.Choices[0].Message
	p.expected = append(p.expected, message)
	want := "seen:" + engine.Digest(p.expected) + " "
	if len(reply.Content) < len(want) || reply.Content[:len(want)] != want {
		p.report.mix(fmt.Sprintf("program %s: engine saw another history", p.id))
	}
	p.expected = append(p.expected, reply)
	p.report.turn()
	return nil
}

// order posts a request that must not run twice.
func (p *program) order(ctx context.Context) error {
	answer, err := p.call(ctx, http.MethodPost, "/v1/services/"+p.options.Service+"/orders", []byte(`{"pallets":1}`), p.headers())
	if err != nil {
		var refused refusal
		if errors.As(err, &refused) && refused.Verdict == "may_have_run" {
			p.report.unknown()
			return nil
		}
		return err
	}
	var executed struct {
		Execution int `json:"execution"`
	}
	if err := json.Unmarshal(answer, &executed); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if executed.Execution > 1 {
		p.report.double(fmt.Sprintf("program %s: order ran %d times", p.id, executed.Execution))
	}
	return nil
}

// refusal is the error body of an answer.
type refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Error returns the code, verdict and message.
func (r refusal) Error() string { return r.Code + " (" + r.Verdict + "): " + r.Message }

// recorded reports whether the refusal is the recorded outcome of a call, which
// stays the same however often it is asked for.
func (r refusal) recorded() bool { return strings.Contains(r.Message, "recorded outcome") }

// call sends a request until it is answered; each try goes to another VM, as
// through a balancer.
func (p *program) call(ctx context.Context, method, path string, body []byte, headers map[string]string) ([]byte, error) {
	backoff := firstBackoff
	var last error
	for range callAttempts {
		answer, err := p.try(method, path, body, headers)
		if err == nil {
			return answer, nil
		}
		last = err
		wait := backoff
		var refused refusal
		if errors.As(err, &refused) {
			p.report.refuse(refused.Code)
			if !retryable(refused.Code) || refused.recorded() {
				return nil, err
			}
			wait = max(wait, time.Duration(refused.RetryAfterMS)*time.Millisecond)
		}
		pause(ctx, wait+time.Duration(p.random.Int64N(int64(wait))))
		if ctx.Err() != nil {
			return nil, fmt.Errorf("call: %w", ctx.Err())
		}
		backoff = min(2*backoff, time.Second)
	}
	return nil, fmt.Errorf("no answer after %d tries: %w", callAttempts, last)
}

func retryable(code string) bool {
	switch code {
	case "rate_limited", "overloaded", "no_endpoint", "endpoint_failed", "answer_cut", "home_unreachable",
		"replica_unreachable", "program_moved", "leaving", "config_stale", "internal", "call_out_of_order":
		return true
	default:
		return false
	}
}

func (p *program) try(method, path string, body []byte, headers map[string]string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	vm := p.vms.choose(p.random)
	request.SetRequestURI("http://" + vm + path)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+p.options.Key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := p.http.DoTimeout(request, response, callTimeout); err != nil {
		p.report.refuse("connection")
		p.vms.refused(vm)
		return nil, fmt.Errorf("VM %s: %w", vm, err)
	}
	if response.StatusCode() < http.StatusBadRequest {
		return append([]byte{}, response.Body()...), nil
	}
	var failed struct {
		Error refusal `json:"error"`
	}
	if err := json.Unmarshal(response.Body(), &failed); err != nil {
		return nil, fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil, failed.Error
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
