package client_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/standin/worker"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

// framed is the end of a response with a length.
const framed = "Content-Length: 2\r\n\r\n{}"

// write sends a write to a service that gives a raw response, and returns the body of the
// response.
func write(t *testing.T, response string) ([]byte, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := worker.Start(l, "", 0, 0)
	t.Cleanup(service.Close)
	service.SendRaw(response)
	return client.NewJSONClient(service.Address(), dial.New(nil)).DoEncoded(t.Context(), time.Second, http.MethodPut, "/objects/kind/name", []byte("{}"))
}

// Guards against a write that counts as done, as refused or as a conflict by a head that
// is that of no response: the library reads the status 000 as 200.
func TestBrokenHeadAcknowledgesNothing(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n" + framed,
		"status 600":             "HTTP/1.1 600 OK\r\n" + framed,
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Note: v\r\n" + framed,
		"blank before a colon":   "HTTP/1.1 200 OK\r\nX-Note : v\r\n" + framed,
		"continuation line":      "HTTP/1.1 200 OK\r\nX-Note: v\r\n w\r\n" + framed,
		"blank in the length":    "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n{}",
		"length and coding":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"conflict":               "HTTP/1.1 409 Conflict\r\nX Note: v\r\n" + framed,
		"not found":              "HTTP/1.1 404 Not Found\r\nX Note: v\r\n" + framed,
		"after interim response": "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + framed,
	} {
		t.Run(name, func(t *testing.T) {
			body, err := write(t, response)
			if !errors.Is(err, client.ErrUnavailable) || errors.Is(err, client.ErrConflict) || errors.Is(err, client.ErrNotFound) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// Guards against a sound service whose response is refused.
func TestSoundHeadAcknowledges(t *testing.T) {
	for name, response := range map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nX-Note: a\tb\r\n" + framed,
		"chunks":            "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	} {
		t.Run(name, func(t *testing.T) {
			if body, err := write(t, response); err != nil || string(body) != "{}" {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
