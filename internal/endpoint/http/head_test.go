package http_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

// refusalTimeout is the time within which an invalid head is refused although its
// connection stays open.
const refusalTimeout = 5 * time.Second

// exchangeWith sends a request to an endpoint and reads the head of its response.
func exchangeWith(t *testing.T, transport *http.Transport, e hawthornrail.Endpoint) (*http.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	t.Cleanup(cancel)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + e.Address() + "/")
	return transport.Do(ctx, e.Address(), request, false)
}

// assertInvalidHead checks that a response is refused for its head while its connection
// stays open.
func assertInvalidHead(t *testing.T, raw string) {
	t.Helper()
	if _, err := exchangeWith(t, http.New(clock.Real(), dial.New(nil)), rawEndpoint(t, true, raw)); !errors.Is(err, http.ErrInvalidHead) {
		t.Errorf("%q: error %v", raw, err)
	}
}

// isTokenByte reports whether RFC 9110, 5.6.2, allows a byte in a field name.
func isTokenByte(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// Guards against a field name with a byte that no name may hold, which the library of the
// transport accepts in part.
func TestInvalidFieldNames(t *testing.T) {
	for n := range 256 {
		b := byte(n)
		if isTokenByte(b) || b == ':' || b == '\n' {
			continue
		}
		t.Run(fmt.Sprintf("%#02x", b), func(t *testing.T) {
			for _, name := range []string{"X-Note", "Content-Length"} {
				for _, at := range []int{0, len(name) / 2, len(name)} {
					odd := name[:at] + string([]byte{b}) + name[at:]
					assertInvalidHead(t, "HTTP/1.1 200 OK\r\nServer: x\r\n"+odd+": 2\r\nContent-Type: text/plain\r\n\r\nhi")
				}
			}
		})
	}
}

// Guards against heads in which two readers find other fields, or another end of the head
// or of the body.
func TestInvalidHeads(t *testing.T) {
	const framed = "Content-Length: 2\r\n\r\nhi"
	for _, raw := range []string{
		"garbage\r\n",
		"HTTP/2.0 200 OK\r\n" + framed,
		"HTTP/1.1 20 OK\r\n" + framed,
		"HTTP/1.1 2x0 OK\r\n" + framed,
		"HTTP/1.1 200 OK\r\n X-Note: v\r\n" + framed,
		"HTTP/1.1 200 OK\r\nX-Note: v\r\n \r\n" + framed,
		"HTTP/1.1 200 OK\r\nnote\r\n" + framed,
		"HTTP/1.1 200 OK\r\n: v\r\n" + framed,
		"HTTP/1.1 200 OK\r\nX-Note: a\x00b\r\n" + framed,
		"HTTP/1.1 200 OK\r\nX-Note: a\rb\r\n" + framed,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\n\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + framed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + framed,
		"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n" + chunk("hi") + lastChunk,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("hi") + lastChunk,
		"HTTP/1.1 100 Continue\r\nX Note: v\r\n\r\nHTTP/1.1 200 OK\r\n" + framed,
	} {
		t.Run(fmt.Sprintf("%q", raw), func(t *testing.T) { assertInvalidHead(t, raw) })
	}
}

// Guards against a connection that is used again after a head that is none, and against
// requests of the own interface that get such a response.
func TestInvalidHeadEndsItsConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Note: v\r\nContent-Length: 2\r\n\r\nhi"
	broken := strings.Replace(sound, "X-Note", "X Note", 1)
	for _, first := range []string{broken, strings.Replace(sound, "200", "000", 1)} {
		transport := http.New(clock.Real(), dial.New(nil))
		e := rawEndpoint(t, true, first, sound)
		if _, err := exchangeWith(t, transport, e); err == nil {
			t.Errorf("%q: taken for a response", first)
		}
		exchange, err := exchangeWith(t, transport, e)
		if err != nil {
			t.Fatal(err)
		}
		exchange.Close()
		if dialed := transport.Dialed(); dialed != 2 {
			t.Errorf("%q: %d connections for 2 requests", first, dialed)
		}
	}
	for _, isEngine := range []bool{true, false} {
		out := &responseRecorder{}
		_, err := send(rawEndpoint(t, true, broken), isEngine, false, out)
		if err == nil || out.Len() > 0 {
			t.Errorf("engine %t: error %v, body %q", isEngine, err, out.String())
		}
		assertCode(t, err, hawthornrail.CodeEndpointFailed)
	}
}
