package http_test

import (
	"fmt"
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Guards against a response with an invalid status that is taken for one: the library
// reads 000 as 200.
func TestInvalidStatus(t *testing.T) {
	for _, isEngine := range []bool{true, false} {
		for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
			t.Run(fmt.Sprintf("engine %t, %s", isEngine, status), func(t *testing.T) {
				raw := fmt.Sprintf("HTTP/1.1 %s OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(completion), completion)
				out := &responseRecorder{}
				_, err := send(rawEndpoint(t, false, raw), isEngine, false, out)
				if err == nil {
					t.Error("taken for a response")
				}
				assertCode(t, err, hawthornrail.CodeEndpointFailed)
				if out.Len() > 0 {
					t.Errorf("%q reached the caller", out.String())
				}
			})
		}
	}
}

// Guards against a status line that the check of the status reads differently from the
// library, and against interim responses that hide it.
func TestInvalidStatusAfterOtherLines(t *testing.T) {
	const rest = " OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\nhi"
	for _, start := range []string{"\r\n\r\n", "\n", "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n\r\n"} {
		for _, status := range []string{"HTTP/1.1 000", "HTTP/1.1   000", "HTTP/1.0 000", "HTTP/1.1 099"} {
			t.Run(fmt.Sprintf("%q %q", start, status), func(t *testing.T) {
				_, err := send(rawEndpoint(t, false, start+status+rest), false, false, &responseRecorder{})
				if err == nil {
					t.Fatal("taken for a response")
				}
				assertCode(t, err, hawthornrail.CodeEndpointFailed)
			})
		}
		t.Run(fmt.Sprintf("%q 200", start), func(t *testing.T) {
			_, err := send(rawEndpoint(t, false, start+"HTTP/1.1 200"+rest), false, false, &responseRecorder{})
			if err != nil {
				t.Error(err)
			}
		})
	}
}
