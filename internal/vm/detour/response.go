package detour

import (
	"errors"
	"io"
	"strings"
	"sync"

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
	state    *helperState
	clock    hawthornrail.Clock
	progress *hawthornrail.ForwardProgress
	head     *vmpb.DetourHead
	ready    []byte
	err      error
	// stopWatch is closed with the response.
	stopWatch chan struct{}
	closed    sync.Once
}

// newResponse returns the response to a request that was sent to a VM. One that may run
// again is abandoned if the VM does not reply.
func (c *Client) newResponse(exchange *peer.Exchange, helper hawthornrail.VM, r *hawthornrail.ForwardRequest, p *hawthornrail.ForwardProgress) *response {
	response := &response{
		exchange: exchange, helper: helper, state: c.state(helper.Name()), clock: c.deps.Clock, progress: p, stopWatch: make(chan struct{}),
	}
	abandon := func() {}
	if r.Route().Repeatable() {
		abandon = response.Close
	}
	go c.watch(helper, abandon, response.stopWatch)
	return response
}

// receive reads the next message.
func (r *response) receive() (*vmpb.DetourReply, error) {
	var reply vmpb.DetourReply
	if err := r.exchange.Receive(&reply); err != nil {
		return nil, lost(r.helper, err, r.progress)
	}
	r.state.recordHeard(r.clock.Now())
	return &reply, nil
}

// receiveHead reads the head of the response, or returns the failure of the request.
func (r *response) receiveHead() error {
	reply, err := r.receive()
	if err != nil {
		return err
	}
	if end := reply.GetEnd(); end != nil {
		return failureOf(end, r.progress)
	}
	if r.head = reply.GetHead(); r.head == nil {
		return lost(r.helper, errUnexpected, r.progress)
	}
	return nil
}

// Status returns the HTTP status.
func (r *response) Status() int { return int(r.head.GetStatus()) }

// Headers returns the header fields.
func (r *response) Headers() []hawthornrail.Header { return headersFromWire(r.head.GetHeaders()) }

// ContentType returns the media type.
func (r *response) ContentType() string {
	for _, f := range r.head.GetHeaders() {
		if strings.EqualFold(string(f.GetName()), fasthttp.HeaderContentType) {
			return string(f.GetValue())
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
		r.receivePart()
	}
	n := copy(p, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

func (r *response) receivePart() {
	reply, err := r.receive()
	if err != nil {
		r.err = err
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

// Close cancels the request unless its response has ended; further calls do nothing.
func (r *response) Close() {
	r.closed.Do(func() {
		close(r.stopWatch)
		r.exchange.Close()
	})
}
