package replica

import (
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"hawthornrail.example/hawthornrail/internal/program/pair"
)

// CopyPart is one part of a full copy of a holding.
type CopyPart struct {
	offer pair.Offer
	first bool
	last  bool
	trees [][]hawthornrail.Step
}

// NewCopyPart returns a part of an offered copy, with the steps of some trees.
func NewCopyPart(offer pair.Offer, first, last bool, trees [][]hawthornrail.Step) CopyPart {
	return CopyPart{offer: offer, first: first, last: last, trees: trees}
}

// Offer stores a part of a full copy. After the last part, this VM can become
// the backup in the offered pairing.
func (s *Store) Offer(holding hawthornrail.Instance, p CopyPart) error {
	trees := make([]*ledger.Tree, 0, len(p.trees))
	for _, steps := range p.trees {
		tree, err := ledger.Replay(steps)
		if err != nil {
			return fmt.Errorf("copy of %s: %w", holding, err)
		}
		trees = append(trees, tree)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.first {
		s.staged[holding] = &replica{offer: p.offer, trees: make(map[string]*ledger.Tree), finishedAt: make(map[string]time.Time)}
	}
	r, ok := s.staged[holding]
	if !ok || r.offer != p.offer || !s.replaces(holding, p.offer) {
		return fmt.Errorf("copy of %s: %w", holding, ErrRefused)
	}
	s.highestOffered[holding] = max(s.highestOffered[holding], p.offer.Next().Epoch())
	for _, t := range trees {
		r.trees[t.ID().String()] = t
	}
	if p.last {
		r.backup = pair.NewBackup(p.offer, s.clock.Now())
		s.copies[holding] = r
		delete(s.staged, holding)
	}
	return nil
}

func (s *Store) replaces(holding hawthornrail.Instance, o pair.Offer) bool {
	if s.draining {
		return false
	}
	r, ok := s.copies[holding]
	return !ok || o.Replaces(r.backup)
}

// HighestOfferedEpoch returns the highest epoch of a holding for which a copy was
// offered.
func (s *Store) HighestOfferedEpoch(holding hawthornrail.Instance) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestOffered[holding]
}
