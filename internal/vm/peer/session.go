package peer

import (
	"fmt"
	"io"
	"net"

	"github.com/hashicorp/yamux"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// session is a yamux session with its connection.
//
// Between the start of yamux's own Close and the end of its streams, reads of
// the streams spin, which on one processor starves the goroutine that closes.
// So a session is closed through its connection: the read error ends the
// streams in the goroutine that reads the connection.
type session struct {
	*yamux.Session
	conn net.Conn
}

func newSession(conn net.Conn, clock hawthornrail.Clock, client bool) (*session, error) {
	newYamux := yamux.Server
	if client {
		newYamux = yamux.Client
	}
	s, err := newYamux(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	wrapped := &session{Session: s, conn: conn}
	go wrapped.keepAlive(clock)
	return wrapped, nil
}

// Close closes the connection and waits until the session has ended.
func (s *session) Close() error {
	err := s.conn.Close()
	<-s.CloseChan()
	if err != nil {
		return fmt.Errorf("close session: %w", err)
	}
	return nil
}

// keepAlive closes the session if its other end does not respond.
func (s *session) keepAlive(clock hawthornrail.Clock) {
	for {
		select {
		case <-s.CloseChan():
			return
		case <-clock.After(keepAliveInterval):
		}
		if _, err := s.Ping(); err != nil {
			_ = s.Close()
			return
		}
	}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	c.StreamCloseTimeout = streamCloseTimeout
	return c
}
