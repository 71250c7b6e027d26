package proxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/memory"
)

// minFullRetryAfter is the shortest retry delay of a request that does not fit in memory;
// a random part of the same size is added so that callers do not retry at once.
const minFullRetryAfter = 300 * time.Millisecond

func fullRetryAfter() time.Duration { return minFullRetryAfter + rand.N(minFullRetryAfter) }

// full returns the failure of a request that does not fit in memory.
func full(err error) *hawthornrail.Failure {
	return hawthornrail.NewFailure(hawthornrail.CodeOverload, hawthornrail.VerdictNotRun, err).WithRetryAfter(fullRetryAfter())
}

// slow returns the failure of a request that did not arrive in time.
func slow(err error) *hawthornrail.Failure {
	return hawthornrail.NewFailure(hawthornrail.CodeRequestTimeout, hawthornrail.VerdictNotRun, err)
}

// readBody reads the body of a request whose connection is c, or returns a Failure.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *conn) ([]byte, error) {
	if s.deps.ResponsesFull() {
		return nil, full(errResponsesFull)
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, arrived(c)
	}
	body, err := memory.ReadBody(stream, ctx.Request.Header.ContentLength(), s.deps.MaxBodyBytes, c.memory, c.now)
	if err != nil {
		return nil, bodyFailure(err)
	}
	return body, arrived(c)
}

// arrived ends the time in which a request can be evicted.
func arrived(c *conn) error {
	c.memory.Arrived()
	if c.isEvicted() {
		return slow(errEvicted)
	}
	return nil
}

// bodyFailure returns the failure of a body that was not read to its end.
func bodyFailure(err error) error {
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return hawthornrail.NewFailure(hawthornrail.CodeBodyTooLarge, hawthornrail.VerdictNotRun, err)
	case errors.Is(err, memory.ErrFull):
		return full(err)
	case isSlow(err):
		return slow(err)
	default:
		return hawthornrail.NewFailure(hawthornrail.CodeBadRequest, hawthornrail.VerdictNotRun, err)
	}
}

// isSlow reports whether a request was not read because it did not arrive in time.
func isSlow(err error) bool {
	var timeout net.Error
	return errors.Is(err, errEvicted) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// writeReadError writes the response to a request whose head could not be read.
func (s *Server) writeReadError(ctx *fasthttp.RequestCtx, err error) {
	c := ctx.Conn().(*conn)
	c.lingers = true
	code := hawthornrail.CodeBadRequest
	switch {
	case strings.Contains(err.Error(), "small read buffer") && c.headBytes < s.deps.MaxHeaderBytes+connBytes:
		// A long head right behind an earlier request has the small buffer of that one; on a
		// connection of its own it gets a larger one.
		s.fillFailure(&ctx.Response, full(err))
		return
	case strings.Contains(err.Error(), "small read buffer"):
		code = hawthornrail.CodeHeadTooLarge
	case isSlow(err):
		code = hawthornrail.CodeRequestTimeout
	}
	s.fillFailure(&ctx.Response, hawthornrail.NewFailure(code, hawthornrail.VerdictNotRun, err))
}

// expect refuses a body before it is sent, if its caller waits for that.
func (s *Server) expect(ctx *fasthttp.RequestCtx) int {
	if length := ctx.Request.Header.ContentLength(); length > s.deps.MaxBodyBytes {
		ctx.Conn().(*conn).lingers = true
		s.writeFailure(ctx, hawthornrail.NotRun(hawthornrail.CodeBodyTooLarge, "body of %d bytes", length))
		return ctx.Response.StatusCode()
	}
	return fasthttp.StatusContinue
}
