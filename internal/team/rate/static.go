package rate

import (
	"context"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Static gives every VM an equal, fixed share of each team's rate; it
// implements hawthornrail.Admitter and is the baseline of the measurements.
type Static struct {
	config hawthornrail.Configuration
	clock  hawthornrail.Clock

	mu      sync.Mutex
	buckets map[string]*Bucket
}

// NewStatic returns an admitter whose share is one part in the number of VMs.
func NewStatic(config hawthornrail.Configuration, clock hawthornrail.Clock) *Static {
	return &Static{config: config, clock: clock, buckets: make(map[string]*Bucket)}
}

// Admit takes a token of this VM's share.
func (s *Static) Admit(_ context.Context, d hawthornrail.Deployment) (time.Duration, bool) {
	share := 1 / float64(max(1, len(s.config.Snapshot().VMs())))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	b, ok := s.buckets[d.Name()]
	if !ok {
		b = NewBucket(d.Rate()*share, d.Burst()*share, now)
		s.buckets[d.Name()] = b
	}
	b.Resize(d.Rate()*share, d.Burst()*share, now)
	return b.Take(now)
}
