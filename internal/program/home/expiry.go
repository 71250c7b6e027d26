package home

import (
	"context"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

const forgetInterval = 30 * time.Second

// RunExpiry calls RemoveExpired periodically until ctx ends.
func (h *Home) RunExpiry(ctx context.Context, releases hawthornrail.MemoryReleases) {
	for {
		if !clock.Wait(ctx, h.deps.Clock, forgetInterval) {
			return
		}
		h.RemoveExpired(releases)
	}
}

// RemoveExpired removes the trees that ended longer ago than the retention and
// whose engine memory is released. It returns the number of removed trees.
func (h *Home) RemoveExpired(releases hawthornrail.MemoryReleases) int {
	dropped := 0
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			if e.expirable(h.deps.Clock.Now(), releases) {
				h.drop(e)
				dropped++
			}
		}
	}
	return dropped
}

func (e *entry) expirable(now time.Time, releases hawthornrail.MemoryReleases) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.tree.Finished() || len(e.claimed) > 0 {
		return false
	}
	if e.finishedAt.IsZero() {
		e.finishedAt = now
	}
	return now.Sub(e.finishedAt) >= ledger.Retention && !e.holdsMemory(releases)
}

func (e *entry) holdsMemory(releases hawthornrail.MemoryReleases) bool {
	for _, p := range e.tree.Programs() {
		id := e.tree.ID().Child(p.Index()).String()
		for _, endpoint := range p.Endpoints() {
			if !releases.Released(id, endpoint) {
				return true
			}
		}
	}
	return false
}

// drop removes an entry unless it has been replaced.
func (h *Home) drop(e *entry) {
	tree := e.tree.ID().String()
	s := h.shard(tree)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trees[tree] == e {
		delete(s.trees, tree)
	}
}
