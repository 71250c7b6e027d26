package dial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive, which detects that the other end has stopped without closing
	// the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unacknowledgedTimeout bounds how long sent bytes may stay unacknowledged.
	unacknowledgedTimeout = 2 * time.Second
)

// Dialer connects over TCP; it implements hawthornrail.Dialer.
type Dialer struct {
	routes map[string]string
}

// New returns a dialer; routes maps addresses to replacements, so that tests can
// put proxies in front of VMs.
func New(routes map[string]string) *Dialer {
	return &Dialer{routes: routes}
}

// Dial connects to an address, or to the one that replaces it.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if route, ok := d.routes[address]; ok {
		address = route
	}
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return conn{tcp}, nil
}

// conn is a TCP connection that reports its unacknowledged bytes; it implements
// hawthornrail.AcknowledgedConn.
type conn struct {
	*net.TCPConn
}

// Unacknowledged returns the number of sent bytes that the other end has not
// acknowledged.
func (c conn) Unacknowledged() (count int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("access connection: %w", err)
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		count, readErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err := errors.Join(err, readErr); err != nil {
		return 0, fmt.Errorf("read unacknowledged bytes: %w", err)
	}
	return count, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, after which a connection with
// unacknowledged bytes fails.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
