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
	callTimeout      = 20 * time.Second
	callAttempts     = 40
	initialBackoff   = 50 * time.Millisecond
	progressInterval = 2 * time.Second
)

// Options configure a run.
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

// Run runs all programs and returns a report of their outcomes.
func Run(ctx context.Context, options Options) *Report {
	report := newReport()
	stop := report.showProgress(options.Progress)
	defer stop()
	vms := newBalancer(options.VMs)
	var wait sync.WaitGroup
	slots := make(chan struct{}, options.Concurrent)
	for i := range options.Programs {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			report.countFailure(fmt.Sprintf("stopped after %d programs", i))
			wait.Wait()
			return report
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			p := newProgram(options, vms, report, uint64(i))
			p.run(ctx)
		}()
	}
	wait.Wait()
	return report
}

// program is one agent program: turns of a model call each, a third of them
// followed by a tool call and a third by a sub-agent.
type program struct {
	options    Options
	vms        *balancer
	report     *Report
	random     *rand.Rand
	client     *fasthttp.Client
	number     uint64
	id         string
	callNumber uint64
	history    []engine.Message
}

func newProgram(options Options, vms *balancer, report *Report, number uint64) *program {
	return &program{
		options: options, vms: vms, report: report, number: number,
		random: rand.New(rand.NewPCG(options.Seed, number)),
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1},
	}
}

func (p *program) run(ctx context.Context) {
	start := time.Now()
	if err := p.create(ctx, ""); err != nil {
		p.report.countLostProgram(fmt.Sprintf("program %d: create: %v", p.number, err))
		return
	}
	turns := 1 + p.random.IntN(p.options.Turns)
	for turn := range turns {
		if err := p.turn(ctx, turn); err != nil {
			p.report.countLostProgram(fmt.Sprintf("program %s turn %d: %v", p.id, turn, err))
			return
		}
	}
	p.end(ctx)
	p.report.recordFinished(time.Since(start), turns)
}

func (p *program) turn(ctx context.Context, turn int) error {
	if err := p.callModel(ctx, fmt.Sprintf("program %d turn %d", p.number, turn)); err != nil {
		return err
	}
	pause(ctx, time.Duration(p.random.Int64N(int64(p.options.Pause)+1)))
	switch p.random.IntN(3) {
	case 0:
		return p.postOrder(ctx)
	case 1:
		return p.runSubAgent(ctx)
	default:
		return nil
	}
}

// runSubAgent runs a child program with a single model call.
func (p *program) runSubAgent(ctx context.Context) error {
	child := newProgram(p.options, p.vms, p.report, p.number)
	child.random = p.random
	if err := child.create(ctx, p.id); err != nil {
		return fmt.Errorf("sub-agent: %w", err)
	}
	if err := child.callModel(ctx, "check a substitute for "+p.id); err != nil {
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
	responseBody, err := p.call(ctx, http.MethodPost, "/v1/programs", data, nil)
	if err != nil {
		return err
	}
	var created struct {
		ProgramID string `json:"program_id"`
	}
	if err := json.Unmarshal(responseBody, &created); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	p.id = created.ProgramID
	return nil
}

func (p *program) end(ctx context.Context) {
	if _, err := p.call(ctx, http.MethodDelete, "/v1/programs/"+p.id, nil, nil); err != nil {
		p.report.countFailure(fmt.Sprintf("program %s: end: %v", p.id, err))
	}
}

func (p *program) headers() map[string]string {
	p.callNumber++
	return map[string]string{
		"X-Program-Id": p.id, "X-Call-Number": strconv.FormatUint(p.callNumber, 10), "X-Program-History": "keep",
	}
}

// callModel makes a model call and verifies that the engine received exactly the
// history of this program.
func (p *program) callModel(ctx context.Context, text string) error {
	message := engine.Message{Role: "user", Content: text}
	data, err := json.Marshal(map[string]any{
		"model": p.options.Model, "messages": []engine.Message{message}, "max_tokens": 64,
	})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	responseBody, err := p.call(ctx, http.MethodPost, "/v1/chat/completions", data, p.headers())
	if err != nil {
		return err
	}
	var completion struct {
		Choices []struct {
			Message engine.Message `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(responseBody, &completion); err != nil || len(completion.Choices) != 1 {
		return fmt.Errorf("answer %q: not a completion", responseBody)
	}
	received := completion.Choices[0].Message
	p.history = append(p.history, message)
	want := "seen:" + engine.Digest(p.history) + " "
	if len(received.Content) < len(want) || received.Content[:len(want)] != want {
		p.report.countMixedHistory(fmt.Sprintf("program %s: engine saw another history", p.id))
	}
	p.history = append(p.history, received)
	p.report.countTurn()
	return nil
}

// postOrder sends a service request that must not run twice.
func (p *program) postOrder(ctx context.Context) error {
	responseBody, err := p.call(ctx, http.MethodPost, "/v1/services/"+p.options.Service+"/orders", []byte(`{"pallets":1}`), p.headers())
	if err != nil {
		var refused refusal
		if errors.As(err, &refused) && refused.Verdict == "may_have_run" {
			p.report.countUnknownOutcome()
			return nil
		}
		return err
	}
	var order struct {
		Execution int `json:"execution"`
	}
	if err := json.Unmarshal(responseBody, &order); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if order.Execution > 1 {
		p.report.countDuplicateOrder(fmt.Sprintf("program %s: order ran %d times", p.id, order.Execution))
	}
	return nil
}

// refusal is the error in a response body.
type refusal struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Error returns the code, verdict and message.
func (r refusal) Error() string { return r.Code + " (" + r.Verdict + "): " + r.Message }

// recorded reports whether the refusal is the recorded outcome of a call, which
// every retry of the call returns again.
func (r refusal) recorded() bool { return strings.Contains(r.Message, "recorded outcome") }

// call sends a request until it succeeds, is refused for good or has failed
// callAttempts times. Each attempt goes to a VM that the balancer picks.
func (p *program) call(ctx context.Context, method, path string, body []byte, headers map[string]string) ([]byte, error) {
	backoff := initialBackoff
	var lastErr error
	for range callAttempts {
		responseBody, err := p.attempt(method, path, body, headers)
		if err == nil {
			return responseBody, nil
		}
		lastErr = err
		wait := backoff
		var refused refusal
		if errors.As(err, &refused) {
			p.report.countRefusal(refused.Code)
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
	return nil, fmt.Errorf("no answer after %d tries: %w", callAttempts, lastErr)
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

func (p *program) attempt(method, path string, body []byte, headers map[string]string) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	vm := p.vms.pick(p.random)
	request.SetRequestURI("http://" + vm + path)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+p.options.Key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	if err := p.client.DoTimeout(request, response, callTimeout); err != nil {
		p.report.countRefusal("connection")
		p.vms.eject(vm)
		return nil, fmt.Errorf("VM %s: %w", vm, err)
	}
	if response.StatusCode() < http.StatusBadRequest {
		return append([]byte{}, response.Body()...), nil
	}
	var errorBody struct {
		Error refusal `json:"error"`
	}
	if err := json.Unmarshal(response.Body(), &errorBody); err != nil {
		return nil, fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil, errorBody.Error
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
