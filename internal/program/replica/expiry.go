package replica

import (
	"context"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

const (
	forgetInterval = 30 * time.Second
	// retention is longer than the holder's, because the holder may still receive
	// repeats of the calls.
	retention = 2 * ledger.Retention
)

// RunExpiry calls RemoveExpired periodically until ctx ends.
func (s *Store) RunExpiry(ctx context.Context) {
	for {
		if !clock.Wait(ctx, s.clock, forgetInterval) {
			return
		}
		s.RemoveExpired()
	}
}

// RemoveExpired removes the copies of the trees that ended longer ago than the
// retention. It returns the number of removed trees.
func (s *Store) RemoveExpired() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	dropped := 0
	for _, r := range s.copies {
		dropped += r.forget(now)
	}
	return dropped
}

func (r *replica) forget(now time.Time) int {
	dropped := 0
	for id, tree := range r.trees {
		if !tree.Finished() {
			continue
		}
		if since, ok := r.finishedAt[id]; !ok {
			r.finishedAt[id] = now
		} else if now.Sub(since) >= retention {
			delete(r.trees, id)
			delete(r.finishedAt, id)
			dropped++
		}
	}
	return dropped
}
