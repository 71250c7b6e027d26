package tcp_test

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/tcp"
)

// scriptedListener fails with its errors in turn, and then has one connection.
type scriptedListener struct {
	errs []error
	conn net.Conn
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func (l *scriptedListener) Close() error   { return nil }
func (l *scriptedListener) Addr() net.Addr { return &net.TCPAddr{} }

func repeat(err error, count int) []error {
	errs := make([]error, count)
	for i := range errs {
		errs[i] = err
	}
	return errs
}

// Guards against a process that ends, or spins, or logs without end while it has no
// descriptors left, and against one that never closes idle connections then.
func TestShortageIsWaitedFor(t *testing.T) {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				shed := 0
				listener := &scriptedListener{errs: repeat(err, 150), conn: &net.TCPConn{}}
				acceptor := tcp.NewAcceptor(listener, clock.Real(), events.NewLogger(&log, zerolog.InfoLevel), func() { shed++ })
				start := time.Now()
				conn, got := acceptor.Accept()
				if got != nil || conn != listener.conn || shed != 150 {
					t.Errorf("connection %v, error %v, %d connections shed", conn, got, shed)
				}
				if took := time.Since(start); took < time.Second || took > 3*time.Second {
					t.Errorf("took %v for 150 attempts", took)
				}
				if lines := strings.Count(log.String(), "\n"); lines != 2 {
					t.Errorf("%d lines in 1.5 s, want 2: %s", lines, log.String())
				}
			})
		})
	}
}

// Guards against connections that are closed because a caller gave up before it was accepted.
func TestCallerThatGaveUp(t *testing.T) {
	listener := &scriptedListener{errs: repeat(syscall.ECONNABORTED, 3), conn: &net.TCPConn{}}
	acceptor := tcp.NewAcceptor(listener, clock.Real(), events.Discard(), func() { t.Error("a connection was shed") })
	if conn, err := acceptor.Accept(); err != nil || conn != listener.conn {
		t.Errorf("connection %v, error %v", conn, err)
	}
}

// Guards against a server that does not end with its listener.
func TestOtherErrorsEndAccept(t *testing.T) {
	for _, want := range []error{net.ErrClosed, syscall.EINVAL} {
		acceptor := tcp.NewAcceptor(&scriptedListener{errs: []error{want}}, clock.Real(), events.Discard(), func() {})
		if _, err := acceptor.Accept(); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
}
