package proxy

import (
	"net"
	"testing"
	"time"
)

// deadlineConn records the deadline of writes.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *deadlineConn) Write(p []byte) (int, error) { return len(p), nil }

// Guards against review case 3: a stream that its caller reads is cut half a minute after its
// first byte.
func TestWriteDeadlineMovesOn(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	network := &deadlineConn{}
	c := &conn{Conn: network, now: func() time.Time { return now }}
	for range 5 {
		now = now.Add(writeTimeout - time.Second)
		if _, err := c.Write([]byte("data")); err != nil {
			t.Fatal(err)
		}
		if want := now.Add(writeTimeout); !network.deadline.Equal(want) {
			t.Errorf("deadline %s, want %s", network.deadline, want)
		}
	}
}
