package detour

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

const (
	// silenceLimit is how long a VM that has a request may send nothing until it is
	// probed, and replyTimeout how long it may take to reply.
	silenceLimit = 150 * time.Millisecond
	replyTimeout = 200 * time.Millisecond
)

// helperState records whether a VM that requests go through replies.
type helperState struct {
	mu      sync.Mutex
	heardAt time.Time
	// probing is set during a probe, and silent once the VM has not replied.
	probing bool
	silent  bool
}

func (c *Client) state(helper string) *helperState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.helpers[helper]
	if !ok {
		s = &helperState{}
		c.helpers[helper] = s
	}
	return s
}

// recordHeard records that a message of a VM has arrived.
func (s *helperState) recordHeard(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt, s.silent = now, false
}

func (s *helperState) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// beginProbe reports whether the VM has been heard too long ago and is not probed yet.
func (s *helperState) beginProbe(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probing || s.silent || now.Sub(s.heardAt) < silenceLimit {
		return false
	}
	s.probing = true
	return true
}

func (s *helperState) endProbe(replied bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probing = false
	if replied {
		s.heardAt = now
		return
	}
	// One that was heard meanwhile is not silent.
	s.silent = now.Sub(s.heardAt) >= silenceLimit
}

// watch calls abandon once a VM that has a request does not reply, until stop is
// closed. It may be paused or down; its connection tells that only much later.
func (c *Client) watch(helper hawthornrail.VM, abandon func(), stop <-chan struct{}) {
	s := c.state(helper.Name())
	for {
		select {
		case <-stop:
			return
		case <-c.deps.Clock.After(silenceLimit):
		}
		if s.beginProbe(c.deps.Clock.Now()) {
			replied := c.replies(helper)
			s.endProbe(replied, c.deps.Clock.Now())
		}
		if s.isSilent() {
			abandon()
			return
		}
	}
}

// replies reports whether a VM replies to a request that costs it nothing.
func (c *Client) replies(helper hawthornrail.VM) bool {
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	return peer.Probe(ctx, c.deps.Peers, helper.Address()) == nil
}
