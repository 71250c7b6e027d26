package http

import (
	"bufio"
	"net"
)

// Checked returns the connection of a client that sends one request at a time. Each head
// of a response is checked before the client reads it; one that is none is an error.
func Checked(c net.Conn) net.Conn { return &checkedConn{Conn: c, reader: bufio.NewReader(c)} }

type checkedConn struct {
	net.Conn
	reader *bufio.Reader
	// awaited is set until the head of the final response has been checked.
	awaited bool
	// unread is what is left of a head that was checked, in bytes.
	unread int
}

// Write sends a part of a request, which a response follows.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.awaited = true
	return c.Conn.Write(p)
}

// Read reads a part of a response, or ErrInvalidHead.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.unread == 0 && c.awaited {
		if err := c.checkHead(); err != nil {
			return 0, err
		}
	}
	if c.unread > 0 {
		p = p[:min(len(p), c.unread)]
	}
	n, err := c.reader.Read(p)
	c.unread = max(0, c.unread-n)
	return n, err
}

func (c *checkedConn) checkHead() error {
	status, length, err := checkNextHead(c.reader)
	if err != nil {
		return err
	}
	c.unread = length
	c.awaited = !isFinal(status)
	if c.awaited {
		return nil
	}
	return CheckStatus(status)
}
