package serve_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

const inputLimits = "[limits]\nmax_body_bytes = 10000\nread_timeout = \"1s\"\n"

// sendRaw sends text unchanged and returns the status and the verdict.
func sendRaw(t *testing.T, vm *testbed.VM, text string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", vm.Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Header.Get("X-Verdict")
}

func completionRequest(key, headers, body string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		key, headers, len(body), body)
}

// Invalid input is refused with the verdict not_run, and the VM keeps serving.
func TestInvalidInput(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, Services: 1, Settings: inputLimits})
	vm := bed.VMs[0]
	valid := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}]}`, testbed.Model)
	program := vm.CreateProgram(bed.Key)
	numbered := func(number string) string {
		return "X-Program-Id: " + program + "\r\nX-Call-Number: " + number + "\r\n"
	}
	long := strings.Repeat("x", 20000)
	cases := []struct {
		name   string
		text   string
		status int
	}{
		{"body over the limit", completionRequest(bed.Key, "", long), http.StatusRequestEntityTooLarge},
		{"body that is not JSON", completionRequest(bed.Key, "", `{"model":`), http.StatusBadRequest},
		{"body without a model", completionRequest(bed.Key, "", `{}`), http.StatusBadRequest},
		{"messages that are not an array", completionRequest(bed.Key, numbered("1")+"X-Program-History: keep\r\n", `{"model":"counter","messages":7}`), http.StatusBadRequest},
		{"unknown model", completionRequest(bed.Key, "", `{"model":"other","messages":[]}`), http.StatusNotFound},
		{"unknown program", completionRequest(bed.Key, "X-Program-Id: a.b.c.d.e\r\nX-Call-Number: 1\r\n", valid), http.StatusNotFound},
		{"call number that is not a number", completionRequest(bed.Key, numbered("one"), valid), http.StatusBadRequest},
		{"call number 0", completionRequest(bed.Key, numbered("0"), valid), http.StatusBadRequest},
		{"call number too far ahead", completionRequest(bed.Key, numbered("9"), valid), http.StatusConflict},
		{"duplicate header", completionRequest(bed.Key, numbered("1")+"X-Call-Number: 2\r\n", valid), http.StatusBadRequest},
		{"key that is not UTF-8", completionRequest("hr_\xff\xfe_\xff", "", valid), http.StatusUnauthorized},
		{"not an HTTP request", "\x00\x01\x02\r\n\r\n", http.StatusBadRequest},
		{"unknown path", "GET /nowhere HTTP/1.1\r\nHost: vm\r\n\r\n", http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if status, verdict := sendRaw(t, vm, c.text); status != c.status || verdict != "not_run" {
				t.Errorf("got %d %q, want %d not_run", status, verdict, c.status)
			}
		})
	}
	t.Run("body slower than the read timeout", func(t *testing.T) {
		text := completionRequest(bed.Key, "", valid)
		if status, _ := sendRaw(t, vm, text[:len(text)-5]); status < http.StatusBadRequest {
			t.Errorf("got %d, want an error", status)
		}
	})
	t.Run("the program is unaffected", func(t *testing.T) {
		assertOK(t, testbed.Retry(func() testbed.Reply { return vm.Ask(bed.Key, program, 1, "hello") }))
	})
}
