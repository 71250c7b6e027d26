//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// gate is a proxy in front of the store. While it is closed, the machines behind it are
// partitioned from the store: their channels are reset, and so are new ones.
type gate struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

func startGate(target string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(c)
	}
}

func (g *gate) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	target, err := net.Dial("tcp", g.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	if !g.register(c, target) {
		return
	}
	defer g.forget(c, target)
	go func() {
		// The end of one direction ends both.
		_, _ = io.Copy(target, c)
		_ = target.Close()
	}()
	_, _ = io.Copy(c, target)
}

// register reports whether the gate is open.
func (g *gate) register(conns ...net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	for _, c := range conns {
		g.conns[c] = true
	}
	return true
}

func (g *gate) forget(conns ...net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range conns {
		delete(g.conns, c)
	}
}

// setClosed closes or opens the gate.
func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	if !closed {
		return
	}
	for c := range g.conns {
		_ = c.Close()
	}
}
