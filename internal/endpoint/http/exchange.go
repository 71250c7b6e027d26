package http

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxStrayResponses bounds how many responses are read from a connection to
	// find the one that belongs to the request.
	maxStrayResponses = 4

	// maxDiscardBytes and discardTimeout bound what is read to keep a connection: a
	// new one costs less.
	maxDiscardBytes = 4 << 10
	discardTimeout  = 20 * time.Millisecond

	// closeDelimited is the content length that fasthttp reports for a body that
	// ends when its connection is closed.
	closeDelimited = -2
)

var errStrayResponses = errors.New("responses belong to other requests")

// Exchange is a response whose body is still arriving.
type Exchange struct {
	transport  *Transport
	address    string
	conn       *conn
	response   *fasthttp.Response
	status     int
	accept     Accept
	stopCancel func() bool
	finished   bool
	buffer     *Buffer
}

// Accept reports whether a response belongs to the request that was sent; a
// response that does not is read to its end and discarded. used reports that the
// connection has carried other requests before.
type Accept func(h *fasthttp.ResponseHeader, used bool) bool

func (e *Exchange) roundTrip(request *fasthttp.Request) error {
	w := bufio.NewWriter(e.conn)
	if err := request.Write(w); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	for range maxStrayResponses {
		if err := e.readHead(request); err != nil {
			return err
		}
		if e.accept(&e.response.Header, e.conn.used) {
			return nil
		}
		if err := e.discardBody(); err != nil {
			return err
		}
	}
	return errStrayResponses
}

func (e *Exchange) readHead(request *fasthttp.Request) error {
	e.response = fasthttp.AcquireResponse()
	e.response.StreamBody = true
	e.response.SkipBody = request.Header.IsHead()
	status, err := readFinalHead(e.conn.reader, e.response)
	for errors.Is(err, bufio.ErrBufferFull) && e.conn.growReader(e.transport.maxHeadBytes) {
		status, err = readFinalHead(e.conn.reader, e.response)
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		err = fmt.Errorf("%w: head of more than %d bytes", ErrOversized, e.transport.maxHeadBytes)
	}
	if err == nil && hasBody(e.response) {
		err = e.response.ReadBody(e.conn.reader, 0)
	}
	if err != nil {
		return fmt.Errorf("read response: %w", e.conn.explain(err))
	}
	e.status = status
	e.conn.unused = 0
	return nil
}

// hasBody reports whether a body follows a head.
func hasBody(r *fasthttp.Response) bool {
	status := r.StatusCode()
	return !r.SkipBody && !isInterim(status) && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// discardBody reads a response that belongs to another request to its end, which has
// to come before as many bytes as a body may have.
func (e *Exchange) discardBody() error {
	if !e.Framed() {
		return errStrayResponses
	}
	limit := int64(e.transport.buffers.limits.BodyBytes)
	n, err := io.Copy(io.Discard, io.LimitReader(e, limit+1))
	if err != nil {
		return fmt.Errorf("read stray response: %w", err)
	}
	if n > limit {
		return fmt.Errorf("read stray response: %w", ErrOversized)
	}
	e.finished = false
	_ = e.response.CloseBodyStream()
	return nil
}

// Header returns the header of the response.
func (e *Exchange) Header() *fasthttp.ResponseHeader { return &e.response.Header }

// Status returns the HTTP status as the endpoint sent it, which may be invalid.
func (e *Exchange) Status() int { return e.status }

// ContentType returns the media type of the body.
func (e *Exchange) ContentType() string { return string(e.response.Header.ContentType()) }

// Framed reports whether the end of the body can be distinguished from a closed
// connection.
func (e *Exchange) Framed() bool {
	return e.response.SkipBody || e.response.Header.ContentLength() != closeDelimited
}

// Read reads the body; io.EOF means that the body is complete, as far as its
// framing shows.
func (e *Exchange) Read(p []byte) (int, error) {
	body := e.response.BodyStream()
	if body == nil {
		e.finished = true
		return 0, io.EOF
	}
	n, err := body.Read(p)
	if n > 0 {
		e.conn.unused = 0
	}
	if errors.Is(err, io.EOF) {
		e.finished = true
		return n, err
	}
	if err != nil {
		err = e.conn.explain(err)
	}
	return n, err
}

// Hold records that the caller holds a number of bytes of the body until Close; it
// returns ErrOversized or ErrBuffersFull if it may not.
func (e *Exchange) Hold(bytes int) error { return e.buffer.Hold(bytes) }

// ReadAll reads the body to its end.
func (e *Exchange) ReadAll() ([]byte, error) { return e.buffer.ReadAll(e) }

// Discard reads a short body, so that the connection can be used again. It gives up a
// body that is long or does not arrive.
func (e *Exchange) Discard() {
	if e.response.Header.ContentLength() > maxDiscardBytes || e.conn.SetReadDeadline(e.transport.clock.Now().Add(discardTimeout)) != nil {
		return
	}
	// What can't be read leaves the connection unfinished, and Close closes it.
	_, _ = io.Copy(io.Discard, io.LimitReader(e, maxDiscardBytes))
	if e.conn.SetReadDeadline(time.Time{}) != nil {
		e.finished = false
	}
}

// Close returns the connection to the pool if the body was read to its end, and
// closes it otherwise.
func (e *Exchange) Close() {
	e.buffer.Release()
	notCancelled := e.stopCancel()
	reusable := notCancelled && e.finished && e.response != nil && !e.response.ConnectionClose() && e.Framed() && e.conn.reader.Buffered() == 0
	keepFor := idleTimeout
	if e.response != nil {
		keepFor = keepAlive(&e.response.Header)
		_ = e.response.CloseBodyStream()
	}
	if reusable {
		e.conn.used, e.conn.observer = true, nil
		e.transport.putIdle(e.address, e.conn, keepFor)
		return
	}
	_ = e.conn.Close()
}
