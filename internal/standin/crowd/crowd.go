package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Kind is what the callers of a crowd send.
type Kind string

// The kinds. All but the last three stop just short of their end and stay open.
const (
	// LargeChunk is a body in one chunk, and SmallChunks one in chunks of a byte.
	LargeChunk  Kind = "large chunk"
	SmallChunks Kind = "small chunks"
	// Announced is a body with its length.
	Announced Kind = "announced length"
	// Heads stop within a header field.
	Heads Kind = "heads"
	// LongAnnounced is a body far over the limit with its length, and LongChunks one
	// without a length.
	LongAnnounced Kind = "long body with a length"
	LongChunks    Kind = "long body in chunks"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{LargeChunk, SmallChunks, Announced, Heads, LongAnnounced, LongChunks}
}

const (
	// missingBytes is how much of a body its caller does not send.
	missingBytes = 16
	// smallChunkBytes is the size of a body that is sent in chunks of a byte: each costs
	// six on the connection.
	smallChunkBytes = 256 << 10
	// headBytes is how much of a head is sent.
	headBytes = 12 << 10
	// longFactor is by how much a body exceeds the limit.
	longFactor = 8
	// blockBytes is the size of the parts in which callers write.
	blockBytes = 64 << 10
	// sendTimeout bounds how long one caller sends.
	sendTimeout = 5 * time.Second
)

// Target is where callers send their requests.
type Target struct {
	// Address is the IP address and port of an entry VM.
	Address string
	// Head holds the request line and header fields, without the fields about the body.
	Head string
	// BodyBytes is the limit of a request's body.
	BodyBytes int
}

// Crowd is a number of callers whose connections stay open until Close.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Send opens a connection for each of count callers and returns once all have sent what
// is accepted of their requests.
func Send(t Target, kind Kind, count int) *Crowd {
	c := &Crowd{}
	var sending sync.WaitGroup
	for range count {
		sending.Go(func() { c.send(t, kind) })
	}
	sending.Wait()
	return c
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func (c *Crowd) send(t Target, kind Kind) {
	conn, err := net.DialTimeout("tcp", t.Address, sendTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	start, part, parts := t.request(kind)
	// A VM that refuses the request closes the connection.
	_, err = conn.Write([]byte(start))
	for n := 0; n < parts && err == nil; n++ {
		_, err = conn.Write(part)
	}
}

// request returns the start of a request and the part that is sent a number of times
// after it.
func (t Target) request(kind Kind) (start string, part []byte, parts int) {
	announced := func(bytes int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.Head, bytes) }
	chunked := t.Head + "Transfer-Encoding: chunked\r\n\r\n"
	block := bytes.Repeat([]byte{'a'}, blockBytes)
	switch kind {
	case LargeChunk:
		return fmt.Sprintf("%s%x\r\n", chunked, t.BodyBytes), bytes.Repeat([]byte{'a'}, t.BodyBytes-missingBytes), 1
	case SmallChunks:
		return chunked, bytes.Repeat([]byte("1\r\na\r\n"), blockBytes/16), smallChunkBytes / (blockBytes / 16)
	case Announced:
		return announced(t.BodyBytes), bytes.Repeat([]byte{'a'}, t.BodyBytes-missingBytes), 1
	case LongAnnounced:
		return announced(longFactor * t.BodyBytes), block, longFactor * t.BodyBytes / blockBytes
	case LongChunks:
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
		return chunked, chunk, longFactor * t.BodyBytes / blockBytes
	default:
		return t.Head + "X-Padding: " + strings.Repeat("a", headBytes), nil, 0
	}
}
