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
	// probeAfter, probeInterval and probes find a connection whose other end
	// is gone without a word.
	probeAfter    = time.Second
	probeInterval = time.Second
	probes        = 2
	// unackedTimeout bounds how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
)

// Dialer connects over TCP; it implements hawthornrail.Dialer.
type Dialer struct {
	routes map[string]string
}

// New returns a dialer; routes replaces addresses, so that tests can put
// relays before them.
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
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probes},
		Control:         limitUnacked,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

// limitUnacked sets the time after which a connection with unacknowledged
// bytes fails.
func limitUnacked(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
