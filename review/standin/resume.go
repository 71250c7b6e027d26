//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// resumePause is the time between two events, and resumeTokens are those of a
	// whole stream.
	resumePause  = 180 * time.Millisecond
	resumeTokens = 14 * tokensPerEvent
	// resumeStreams are the streams at the machine that is killed, and newStreams
	// those that begin at the others.
	resumeStreams = 20
	newStreams    = 20
	// minTakenUp is the number of streams from which the rule counts.
	minTakenUp = 12
	// releaseAfter and killAfter are counted from the first streams.
	releaseAfter = 600 * time.Millisecond
	killAfter    = 700 * time.Millisecond
)

// resumeCase checks that streams which callers take up go on, while workers of a second
// software version join and an edge machine is killed.
func resumeCase(s setup) error {
	f, err := newFleet(s.names, s.record, []string{"zone-a", "zone-b", "zone-c"})
	if err != nil {
		return err
	}
	defer f.end()
	config, err := renderConfig(configValues{Rate: 500, Burst: 500, StreamTimeoutMS: 3000})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", config)
	for i := range 6 {
		if err := startEngine(f, fmt.Sprintf("engine-%d", i), f.zones[i%3], "v1"); err != nil {
			return err
		}
	}
	edges, _, err := startThreeZones(f)
	if err != nil {
		return err
	}
	// Until now all machines have known the workers for more than twice the route's
	// timeout.
	time.Sleep(8 * time.Second)

	c := newCaller(s.names, s.record)
	old, others := make([]stream, resumeStreams), make([]stream, newStreams)
	var streams sync.WaitGroup
	for i := range old {
		streams.Go(func() { old[i] = c.resumable(i, edges["zone-b"], []*machine{edges["zone-a"], edges["zone-c"]}) })
	}
	time.Sleep(releaseAfter)
	if s.trouble {
		f.record.add("a worker of another software version starts")
		if err := startEngine(f, "engine-new", "zone-b", "v2"); err != nil {
			return err
		}
	}
	time.Sleep(killAfter)
	if s.cut {
		if err := f.signal(edges["zone-b"], syscall.SIGKILL); err != nil {
			return err
		}
	}
	for i := range others {
		streams.Go(func() {
			others[i] = c.resumable(len(old)+i, []*machine{edges["zone-a"], edges["zone-c"]}[i%2], nil)
		})
	}
	streams.Wait()
	return judgeResumed(s.record, old, others)
}

// judgeResumed compares the share of streams that went on with that of the new ones that
// began.
func judgeResumed(r *record, old, others []stream) error {
	takenUp, wentOn, begun := 0, 0, 0
	for _, o := range old {
		if o.takenUp {
			takenUp++
		}
		if o.wentOn {
			wentOn++
		}
	}
	for _, o := range others {
		if o.events > 0 {
			begun++
		}
	}
	r.add("%d streams were taken up, %d went on; %d of %d new ones began", takenUp, wentOn, begun, len(others))
	if takenUp >= minTakenUp && 2*wentOn*len(others) < begun*takenUp {
		return fmt.Errorf("%w: %d of %d streams went on that callers took up, while %d of %d new ones began", errBroken, wentOn, takenUp, begun, len(others))
	}
	return nil
}

// startEngine starts a worker of a software version and lists it.
func startEngine(f *fleet, name, zone, version string) error {
	w, err := startWorker(name, f.names, f.record, resumePause, 0)
	if err != nil {
		return err
	}
	entry := w.entry("engine", zone, "ready")
	entry["version"] = version
	f.store.Put("servers", name, entry)
	return nil
}

// stream is what a caller gets of a stream in all its attempts.
type stream struct {
	events  int
	takenUp bool
	// wentOn is set once an attempt that takes the stream up brings an event.
	wentOn bool
}

// resumable sends a request for a stream and takes it up at other edge machines when its
// channel breaks, until its time is over.
func (c *caller) resumable(number int, edge *machine, others []*machine) (s stream) {
	end := time.Now().Add(turnTimeout)
	first := ""
	for try := 0; ; try++ {
		left := time.Until(end)
		fields := map[string]string{c.names.Tokens: fmt.Sprintf("100,%d", resumeTokens)}
		if s.events > 0 {
			s.takenUp = true
			fields[c.names.LastEvent], fields[c.names.Resumes] = fmt.Sprint(s.events), first
		}
		a := c.post(edge.callers, "/turns/1", fields, nil, left)
		if first == "" && a.events > 0 {
			first = a.id
		}
		s.wentOn = s.wentOn || s.takenUp && a.events > 0
		s.events += a.events
		if s.events >= resumeTokens/tokensPerEvent || len(others) == 0 {
			return s
		}
		edge = others[(number+try)%len(others)]
		time.Sleep(max(a.retryAfter, 20*time.Millisecond))
		if time.Until(end) < 100*time.Millisecond {
			return s
		}
	}
}
