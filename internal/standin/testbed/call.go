package testbed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	callTimeout = 30 * time.Second
	retryTries  = 50
)

// Reply is what a caller got.
type Reply struct {
	Status  int
	Body    []byte
	Code    string
	Verdict string
	Retry   time.Duration
	Err     error
}

// OK reports whether the request was answered whole.
func (r Reply) OK() bool { return r.Err == nil && r.Status < http.StatusBadRequest }

// Retry repeats a request for as long as it is refused as not run with a time
// to come back, up to a limit of tries.
func Retry(send func() Reply) Reply {
	reply := send()
	for range retryTries {
		if reply.OK() || reply.Verdict != "not_run" || reply.Retry == 0 {
			return reply
		}
		time.Sleep(reply.Retry)
		reply = send()
	}
	return reply
}

// Call sends a caller's request to a VM.
func (v *VM) Call(key, method, path string, headers map[string]string, body []byte) Reply {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + v.Caller + path)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	if err := client.DoTimeout(request, response, callTimeout); err != nil {
		return Reply{Err: fmt.Errorf("call %s: %w", v.Name, err)}
	}
	reply := Reply{Status: response.StatusCode(), Body: append([]byte{}, response.Body()...)}
	reply.Verdict = string(response.Header.Peek("X-Verdict"))
	var failure struct {
		Error struct {
			Code         string `json:"code"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	if json.Unmarshal(reply.Body, &failure) == nil {
		reply.Code = failure.Error.Code
		reply.Retry = time.Duration(failure.Error.RetryAfterMS) * time.Millisecond
	}
	return reply
}

// CreateProgram starts a program at a VM, again while it is refused as not
// run, and returns its id.
func (v *VM) CreateProgram(key string) string {
	v.bed.t.Helper()
	reply := Retry(func() Reply { return v.Call(key, http.MethodPost, "/v1/programs", nil, nil) })
	var created struct {
		ProgramID string `json:"program_id"`
	}
	if err := json.Unmarshal(reply.Body, &created); err != nil || created.ProgramID == "" {
		v.bed.t.Fatalf("create program at %s: %d %s %v", v.Name, reply.Status, reply.Body, reply.Err)
	}
	return created.ProgramID
}

// ProgramHeaders returns the headers of a program's call.
func ProgramHeaders(program string, number int) map[string]string {
	return map[string]string{
		"X-Program-Id": program, "X-Call-Number": strconv.Itoa(number), "X-Program-History": "keep",
	}
}

// Ask makes a model call of a program with one user message.
func (v *VM) Ask(key, program string, number int, text string) Reply {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":64,"messages":[{"role":"user","content":%q}]}`, Model, text)
	return v.Call(key, http.MethodPost, "/v1/chat/completions", ProgramHeaders(program, number), []byte(body))
}

// Order makes a service call of a program that must not run twice.
func (v *VM) Order(key, program string, number int) Reply {
	return v.Call(key, http.MethodPost, "/v1/services/"+Service+"/orders", ProgramHeaders(program, number), []byte(`{"pallets":1}`))
}
