//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// usualTimeoutMS is a route's timeout before the change of the configuration, and
	// longTimeoutMS the one after it.
	usualTimeoutMS = 3000
	longTimeoutMS  = 60_000
	// longPause is the time between two events of the model, and longTokens are those
	// of a turn that takes three quarters of its route's timeout.
	longPause   = 250 * time.Millisecond
	longTokens  = 180 * tokensPerEvent
	shortTokens = 8 * tokensPerEvent
	longStreams = 8
	// maxLost is how many channels may close without an answer.
	maxLost = 3
	// changeTime is config_ms, after which a change is in force.
	changeTime = 2 * time.Second
)

// longCase checks that streams end with their last event which a sound worker sends within
// their route's timeout, after the operator has raised that.
func longCase(s setup) error {
	f, engine, edge, err := startOneZone(s, longPause)
	if err != nil {
		return err
	}
	defer f.end()
	tokens, timeout := shortTokens, usualTimeoutMS*time.Millisecond
	if s.trouble {
		config, err := renderConfig(configValues{Version: 12, Rate: 500, Burst: 500, StreamTimeoutMS: longTimeoutMS})
		if err != nil {
			return err
		}
		f.store.Put("config", "main", config)
		s.record.add("version 12 raises timeout_ms to %d", longTimeoutMS)
		tokens, timeout = longTokens, longTimeoutMS*time.Millisecond
	}
	time.Sleep(changeTime + time.Second)
	c := newKeptCaller(s.names, s.record)
	fields := map[string]string{s.names.Tokens: fmt.Sprintf("100,%d", tokens)}
	answers := make([]answer, longStreams)
	var streams sync.WaitGroup
	for i := range answers {
		streams.Go(func() { answers[i] = c.post(edge.callers, "/turns/1", fields, nil, timeout) })
	}
	streams.Wait()
	lost := 0
	for _, a := range answers {
		if !a.complete || a.events < tokens/tokensPerEvent {
			lost++
		}
	}
	s.record.add("%d runs at %s; %d of %d channels were closed before the end of the stream", len(engine.allRuns()), engine.name, lost, longStreams)
	if lost > maxLost {
		return fmt.Errorf("%w: %d of %d channels were closed without the end of their answers", errBroken, lost, longStreams)
	}
	return nil
}
