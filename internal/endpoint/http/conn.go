package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
)

// unusedHeads is how many of the longest heads may arrive in a row without one that is
// used.
const unusedHeads = 2

type conn struct {
	net.Conn
	reader *bufio.Reader
	// used is set once a response has been read from the connection.
	used bool
	// observer is told of the bytes that arrive for the current request, if any.
	observer Observer
	// unused counts the bytes that have arrived since the last part of a head or a body
	// was used, and maxUnused bounds them: an endpoint may send without end where a
	// response holds nothing to use, such as interim responses.
	unused    int
	maxUnused int
}

// Read reads from the connection and tells the observer that the endpoint was heard.
func (c *conn) Read(p []byte) (int, error) {
	if c.flooded() {
		return 0, ErrOversized
	}
	// One part must not use up the bound: the end of a chunk may be read before the chunk
	// counts as used.
	n, err := c.Conn.Read(p[:min(len(p), c.maxUnused/unusedHeads)])
	c.unused += n
	if n > 0 && c.observer != nil {
		c.observer.Heard()
	}
	return n, err
}

// flooded reports whether the endpoint has sent too many bytes that can't be used.
func (c *conn) flooded() bool { return c.unused > c.maxUnused }

// explain returns err with its reason if it comes from a flooded connection.
func (c *conn) explain(err error) error {
	if c.flooded() && !errors.Is(err, ErrOversized) {
		return fmt.Errorf("%w: %w", ErrOversized, err)
	}
	return err
}

// growReader doubles the buffer, up to maxBytes, and reports whether it could. Most
// responses have short heads, so that connections start with a small one.
func (c *conn) growReader(maxBytes int) bool {
	size := c.reader.Size()
	if size >= maxBytes {
		return false
	}
	// What is buffered can be peeked at without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	rest := bytes.NewReader(bytes.Clone(buffered))
	c.reader = bufio.NewReaderSize(io.MultiReader(rest, c), min(2*size, maxBytes))
	return true
}
