package testbed

import (
	"fmt"
	"net"
	"sync"
)

const relayBufferBytes = 32 << 10

// Relay passes TCP connections on to a target and can be cut: then bytes
// stop, in both directions, without any connection being closed.
type Relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	flow  *sync.Cond
	cut   bool
	done  bool
	conns []net.Conn
}

// NewRelay returns a relay to a target address.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: l}
	r.flow = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut stops or resumes the flow of bytes.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.flow.Broadcast()
}

// Close ends all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.flow.Broadcast()
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
		go r.pass(in)
	}
}

func (r *Relay) pass(in net.Conn) {
	defer func() { _ = in.Close() }()
	if !r.open(in) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if !r.open(out) {
		return
	}
	done := make(chan struct{}, 2)
	go r.copy(in, out, done)
	go r.copy(out, in, done)
	<-done
}

// open registers a connection and waits until the relay isn't cut.
func (r *Relay) open(c net.Conn) bool {
	r.mu.Lock()
	r.conns = append(r.conns, c)
	r.mu.Unlock()
	return r.waitFlow()
}

func (r *Relay) waitFlow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut && !r.done {
		r.flow.Wait()
	}
	return !r.done
}

func (r *Relay) copy(from, to net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.waitFlow() {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// A cut also hides the end of a connection.
			r.waitFlow()
			return
		}
	}
}
