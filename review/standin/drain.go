//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
	// slowPause is the time between two events: a stream of turnTokens ends within
	// its route's timeout.
	slowPause = 280 * time.Millisecond
	// shortTurns have one event each; one stream more is broken off, less than 2 in
	// 100 of all.
	shortTurns = 60
)

// drainCase checks that a worker gets no request later than drainTime after the store has
// acknowledged that it is draining, while it breaks off one of its answers.
func drainCase(s setup) error {
	f, engine, edge, err := startOneZone(s, slowPause)
	if err != nil {
		return err
	}
	defer f.end()
	c := newCaller(s.names, s.record)
	var turns sync.WaitGroup
	for i := range shortTurns {
		turns.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			c.turn(edge.callers, "", 0, tokensPerEvent)
		})
	}
	turns.Wait()
	turns.Go(func() { c.turn(edge.callers, "", 0, turnTokens) })
	time.Sleep(100 * time.Millisecond)
	f.store.Put("servers", engine.name, engine.entry("engine", "zone-a", "draining"))
	acknowledged := time.Now()
	engine.leave()
	f.record.add("%s is draining", engine.name)
	time.Sleep(drainTime + 300*time.Millisecond)
	if s.trouble {
		engine.breakOff()
	}
	turns.Wait()
	late := 0
	for _, r := range engine.allRuns() {
		if r.at.Sub(acknowledged) > drainTime {
			late++
		}
	}
	f.record.add("%d requests reached %s later than %v after the ack", late, engine.name, drainTime)
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached a draining worker later than %v after the ack", errBroken, late, drainTime)
	}
	return nil
}

// startOneZone starts an edge machine, a storage machine, and one engine whose streams
// have a pause between events.
func startOneZone(s setup, pause time.Duration) (*fleet, *worker, *machine, error) {
	f, err := newFleet(s.names, s.record, []string{"zone-a"})
	if err != nil {
		return nil, nil, nil, err
	}
	config, err := renderConfig(configValues{Rate: 500, Burst: 500, StreamTimeoutMS: 3000})
	if err != nil {
		return nil, nil, nil, err
	}
	f.store.Put("config", "main", config)
	engine, err := startWorker("engine-0", s.names, s.record, pause, 0)
	if err != nil {
		return nil, nil, nil, err
	}
	f.store.Put("servers", engine.name, engine.entry("engine", "zone-a", "ready"))
	edge, err := f.add("edge-1", "zone-a", false)
	if err != nil {
		return nil, nil, nil, err
	}
	if _, err := f.add("storage-1", "zone-a", true); err != nil {
		return nil, nil, nil, err
	}
	for _, m := range f.machines {
		if err := f.start(m, true); err != nil {
			f.end()
			return nil, nil, nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		f.end()
		return nil, nil, nil, err
	}
	time.Sleep(settleTime)
	return f, engine, edge, nil
}
