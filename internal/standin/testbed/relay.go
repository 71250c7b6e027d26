package testbed

import (
	"fmt"
	"net"
	"sync"
)

const relayBufferBytes = 32 << 10

// Relay forwards TCP connections to a target. While it is partitioned, it
// transfers nothing in either direction and closes no connection.
type Relay struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	changed     *sync.Cond
	partitioned bool
	closed      bool
	conns       []net.Conn
}

// NewRelay returns a relay to a target address.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: l}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetPartitioned stops or resumes the transfer of data.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
	r.changed.Broadcast()
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

func (r *Relay) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	if !r.register(in) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if !r.register(out) {
		return
	}
	done := make(chan struct{}, 2)
	go r.copy(in, out, done)
	go r.copy(out, in, done)
	<-done
}

// register records a connection for Close and waits until the relay is not
// partitioned. It reports whether the relay is still open.
func (r *Relay) register(c net.Conn) bool {
	r.mu.Lock()
	r.conns = append(r.conns, c)
	r.mu.Unlock()
	return r.waitConnected()
}

func (r *Relay) waitConnected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.partitioned && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) copy(from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.waitConnected() {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A partition also delays the end of a connection.
			r.waitConnected()
			return
		}
	}
}
