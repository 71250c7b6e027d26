package http

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

const (
	defaultMaxBodyBytes     = 32 << 20
	defaultMaxEventBytes    = 1 << 20
	defaultMaxBufferedBytes = 128 << 20
	// firstBodyBytes is the size of the buffer in which a body is first read.
	firstBodyBytes = 1 << 10
)

var (
	// ErrOversized means that a body or an event is longer than allowed.
	ErrOversized = errors.New("response exceeds its size limit")
	// ErrBuffersFull means that the responses in flight hold as much memory as they
	// may.
	ErrBuffersFull = errors.New("responses in flight exceed their memory limit")
)

// BufferLimits bounds the bytes of responses that are held in memory.
type BufferLimits struct {
	// BodyBytes bounds a body that is collected, EventBytes one event of a stream.
	BodyBytes  int
	EventBytes int
	// TotalBytes bounds what all responses in flight hold.
	TotalBytes int64
}

// Buffers counts the bytes that responses in flight hold, so that endpoints that send
// without end cost their own requests and not the process.
type Buffers struct {
	limits BufferLimits
	held   atomic.Int64
	// unread are the bytes of whole responses that their callers have not read yet.
	unread atomic.Int64
}

// NewBuffers returns buffers that hold nothing yet.
func NewBuffers(limits BufferLimits) *Buffers { return &Buffers{limits: limits} }

func defaultBuffers() *Buffers {
	return NewBuffers(BufferLimits{BodyBytes: defaultMaxBodyBytes, EventBytes: defaultMaxEventBytes, TotalBytes: defaultMaxBufferedBytes})
}

// Held returns the number of bytes that all responses hold.
func (b *Buffers) Held() int64 { return b.held.Load() }

// fullShare is the fraction of the memory limit, as a divisor, that unread responses have
// to leave free for further requests to be sent: the size of their responses is not known
// before.
const fullShare = 4

// Full reports whether unread responses hold so much that no further request should be
// sent. Responses that are still received do not count: an endpoint that sends without end
// would keep requests from all others.
func (b *Buffers) Full() bool {
	return b.unread.Load() > b.limits.TotalBytes-b.limits.TotalBytes/fullShare
}

// Body returns the buffer of a body that is collected.
func (b *Buffers) Body() *Buffer { return &Buffer{all: b, limit: b.limits.BodyBytes} }

// Event returns the buffer of the incomplete event of a stream.
func (b *Buffers) Event() *Buffer { return &Buffer{all: b, limit: b.limits.EventBytes} }

// Buffer counts the bytes that one response holds. It must be released.
type Buffer struct {
	all    *Buffers
	limit  int
	held   int64
	unread int64
}

// Hold records that the response holds a number of bytes now; it returns ErrOversized
// or ErrBuffersFull if it may not.
func (b *Buffer) Hold(bytes int) error {
	if bytes > b.limit {
		return fmt.Errorf("%w of %d bytes", ErrOversized, b.limit)
	}
	added := int64(bytes) - b.held
	if total := b.all.held.Add(added); added > 0 && total > b.all.limits.TotalBytes {
		b.all.held.Add(-added)
		return fmt.Errorf("%w of %d bytes", ErrBuffersFull, b.all.limits.TotalBytes)
	}
	b.held = int64(bytes)
	return nil
}

// AwaitCaller records that the response is whole and waits for its caller to read it.
func (b *Buffer) AwaitCaller() {
	b.unread = b.held
	b.all.unread.Add(b.unread)
}

// Release records that the response holds nothing any more.
func (b *Buffer) Release() {
	b.all.held.Add(-b.held)
	b.all.unread.Add(-b.unread)
	b.held, b.unread = 0, 0
}

// ReadAll reads a body to its end.
func (b *Buffer) ReadAll(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(firstBodyBytes, 2*cap(body)), b.limit)
			if size == len(body) {
				return body, b.readEnd(r)
			}
			if err := b.Hold(size); err != nil {
				return nil, err
			}
			body = slices.Grow(body, size-len(body))[:len(body):size]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readEnd returns ErrOversized if a body goes on beyond its limit.
func (b *Buffer) readEnd(r io.Reader) error {
	var next [1]byte
	for {
		n, err := r.Read(next[:])
		switch {
		case n > 0:
			return b.Hold(b.limit + 1)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
