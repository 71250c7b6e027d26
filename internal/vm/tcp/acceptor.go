package tcp

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

// retryInterval is the pause after a connection could not be accepted.
const retryInterval = 10 * time.Millisecond

// Acceptor accepts the connections of a listener.
type Acceptor struct {
	listener net.Listener
	clock    hawthornrail.Clock
	log      events.Logger
	// shed closes a connection that is not needed.
	shed   func()
	failed events.Batch
}

// NewAcceptor returns an acceptor for a listener; shed is called when the process has no
// descriptor or memory for a connection, and should close one that is not needed.
func NewAcceptor(l net.Listener, clock hawthornrail.Clock, log events.Logger, shed func()) *Acceptor {
	return &Acceptor{listener: l, clock: clock, log: log, shed: shed}
}

// Accept returns the next connection, or an error that wraps net.ErrClosed once the listener
// is closed. A shortage is no error: it waits until it is over.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		conn, err := a.listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case isShortage(err):
			a.record(err)
			a.shed()
		case !errors.Is(err, syscall.ECONNABORTED):
			return nil, fmt.Errorf("accept connection: %w", err)
		}
		a.clock.Sleep(retryInterval)
	}
}

// isShortage reports whether the process or the machine lacks what a connection takes.
func isShortage(err error) bool {
	for _, shortage := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// record counts a failed attempt and logs the attempts at intervals.
func (a *Acceptor) record(err error) {
	if attempts := a.failed.Count(a.clock.Now()); attempts > 0 {
		a.log.Event(events.AcceptFailed).Err(err).Str("address", a.listener.Addr().String()).Int("attempts", attempts).Emit()
	}
}
