package detour

import (
	"errors"
	"io"
	"strings"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

var errUnexpected = errors.New("unexpected message")

// response is a response that arrives through another VM; it implements
// hawthornrail.DetourResponse.
type response struct {
	exchange *peer.Exchange
	helper   hawthornrail.VM
	progress *hawthornrail.ForwardProgress
	head     *vmpb.DetourHead
	ready    []byte
	err      error
}

// Status returns the HTTP status.
func (r *response) Status() int { return int(r.head.GetStatus()) }

// Headers returns the header fields.
func (r *response) Headers() []hawthornrail.Header { return headersFromWire(r.head.GetHeaders()) }

// ContentType returns the media type.
func (r *response) ContentType() string {
	for _, f := range r.head.GetHeaders() {
		if strings.EqualFold(f.GetName(), fasthttp.HeaderContentType) {
			return f.GetValue()
		}
	}
	return ""
}

// Version returns the version of the software that wrote the response.
func (r *response) Version() string { return r.head.GetVersion() }

// Read returns the next part of the body.
func (r *response) Read(p []byte) (int, error) {
	for len(r.ready) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.receive()
	}
	n := copy(p, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

func (r *response) receive() {
	var reply vmpb.DetourReply
	if err := r.exchange.Receive(&reply); err != nil {
		r.err = lost(r.helper, err, r.progress)
		return
	}
	switch k := reply.GetKind().(type) {
	case *vmpb.DetourReply_Chunk:
		r.ready = k.Chunk.GetData()
	case *vmpb.DetourReply_End:
		r.err = io.EOF
		if !k.End.GetEnd().GetWhole() {
			r.err = failureOf(k.End, r.progress)
		}
	default:
		r.err = lost(r.helper, errUnexpected, r.progress)
	}
}

// Close cancels the request unless its response has ended.
func (r *response) Close() { r.exchange.Close() }
