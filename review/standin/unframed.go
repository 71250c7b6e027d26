//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	unframedStreams = 10
	// exitAfter is how long after the ack of its draining the worker exits.
	exitAfter = drainTime + 200*time.Millisecond
)

// unframedCase checks that streams do not look complete that a worker broke off when it
// exited at the end of its draining. Its streams have neither a length nor chunks.
func unframedCase(s setup) error {
	f, engine, edge, err := startOneZone(s, slowPause)
	if err != nil {
		return err
	}
	defer f.end()
	engine.unframed = true
	c := newCaller(s.names, s.record)
	answers := make([]answer, unframedStreams)
	var streams sync.WaitGroup
	for i := range answers {
		streams.Go(func() { answers[i] = c.turn(edge.callers, "", 0, turnTokens) })
	}
	time.Sleep(100 * time.Millisecond)
	f.store.Put("servers", engine.name, engine.entry("engine", "zone-a", "draining"))
	engine.leave()
	f.record.add("%s is draining", engine.name)
	time.Sleep(exitAfter)
	if s.trouble {
		engine.exit()
	}
	streams.Wait()
	short := 0
	for _, a := range answers {
		if a.complete && a.status == http.StatusOK && a.events < turnTokens/tokensPerEvent {
			short++
		}
	}
	f.record.add("%d streams look complete before their last event", short)
	if short > 0 {
		return fmt.Errorf("%w: %d streams ended as complete before their last event", errBroken, short)
	}
	return nil
}
