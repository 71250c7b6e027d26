package forward

import (
	"io"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
)

// exchange is a response whose body is still arriving, from an endpoint or through
// another VM.
type exchange interface {
	io.Reader
	Status() int
	ContentType() string
	// EndToEnd returns the header fields that reach the caller.
	EndToEnd() []hawthornrail.Header
	// Framed reports whether the end of the body can be distinguished from a closed
	// connection.
	Framed() bool
	Close()
}

// direct is the response of an endpoint that this VM has sent the request to.
type direct struct {
	*http.Exchange
}

// EndToEnd returns the header fields that apply to more than one connection.
func (e direct) EndToEnd() []hawthornrail.Header { return endToEndHeaders(e.Exchange) }

// detoured is a response that arrives through another VM, which has judged whether it
// is complete.
type detoured struct {
	hawthornrail.DetourResponse
}

// EndToEnd returns the header fields, of which the other VM has dropped the rest.
func (e detoured) EndToEnd() []hawthornrail.Header { return e.Headers() }

// Framed returns true.
func (detoured) Framed() bool { return true }
