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
	maxRetries  = 50
)

// Reply is the response to a caller's request, or the error of sending it.
type Reply struct {
	Status  int
	Body    []byte
	Code    string
	Verdict string
	Retry   time.Duration
	Err     error
}

// OK reports whether the response is complete and successful.
func (r Reply) OK() bool { return r.Err == nil && r.Status < http.StatusBadRequest }

// Retry repeats a request while the response has the verdict not_run and a
// retry delay, up to maxRetries times.
func Retry(send func() Reply) Reply {
	response := send()
	for range maxRetries {
		if response.OK() || response.Verdict != "not_run" || response.Retry == 0 {
			return response
		}
		time.Sleep(response.Retry)
		response = send()
	}
	return response
}

// Call sends a caller's request to a VM.
func (v *VM) Call(key, method, path string, headers map[string]string, body []byte) Reply {
	request, received := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(received)
	request.SetRequestURI("http://" + v.Caller + path)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	if err := client.DoTimeout(request, received, callTimeout); err != nil {
		return Reply{Err: fmt.Errorf("call %s: %w", v.Name, err)}
	}
	response := Reply{Status: received.StatusCode(), Body: append([]byte{}, received.Body()...)}
	response.Verdict = string(received.Header.Peek("X-Verdict"))
	var failure struct {
		Error struct {
			Code         string `json:"code"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	if json.Unmarshal(response.Body, &failure) == nil {
		response.Code = failure.Error.Code
		response.Retry = time.Duration(failure.Error.RetryAfterMS) * time.Millisecond
	}
	return response
}

// CreateProgram starts a program at a VM and returns its id. It retries requests
// that have not run.
func (v *VM) CreateProgram(key string) string {
	v.bed.t.Helper()
	response := Retry(func() Reply { return v.Call(key, http.MethodPost, "/v1/programs", nil, nil) })
	var created struct {
		ProgramID string `json:"program_id"`
	}
	if err := json.Unmarshal(response.Body, &created); err != nil || created.ProgramID == "" {
		v.bed.t.Fatalf("create program at %s: %d %s %v", v.Name, response.Status, response.Body, response.Err)
	}
	return created.ProgramID
}

// ProgramHeaders returns the header fields of a program's call.
func ProgramHeaders(program string, number int) map[string]string {
	return map[string]string{
		"X-Program-Id": program, "X-Call-Number": strconv.Itoa(number), "X-Program-History": "keep",
	}
}

// Ask sends a program's model call with one user message.
func (v *VM) Ask(key, program string, number int, text string) Reply {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":64,"messages":[{"role":"user","content":%q}]}`, Model, text)
	return v.Call(key, http.MethodPost, "/v1/chat/completions", ProgramHeaders(program, number), []byte(body))
}

// Order sends a program's service call that must not run twice.
func (v *VM) Order(key, program string, number int) Reply {
	return v.Call(key, http.MethodPost, "/v1/services/"+Service+"/orders", ProgramHeaders(program, number), []byte(`{"pallets":1}`))
}
