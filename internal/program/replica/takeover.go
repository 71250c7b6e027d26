package replica

import (
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"hawthornrail.example/hawthornrail/internal/program/pair"
)

// emptyCopyTimeout is how long a holder may be unresponsive before a copy
// without trees is removed.
const emptyCopyTimeout = 10 * time.Second

// DueTakeover is a holding that this VM may take over now.
type DueTakeover struct {
	holding hawthornrail.Instance
	change  pair.Change
}

// Holding returns the holding.
func (d DueTakeover) Holding() hawthornrail.Instance { return d.holding }

// Change returns how the holding may be taken over.
func (d DueTakeover) Change() pair.Change { return d.change }

// Takeover is a holding that this VM has taken over.
type Takeover struct {
	holding hawthornrail.Instance
	pairing pair.Pairing
	trees   []*ledger.Tree
}

// Holding returns the holding.
func (t Takeover) Holding() hawthornrail.Instance { return t.holding }

// Pairing returns the pairing after the takeover.
func (t Takeover) Pairing() pair.Pairing { return t.pairing }

// Trees returns the trees of the holding.
func (t Takeover) Trees() []*ledger.Tree { return t.trees }

// Tick removes superseded copies and returns the holdings that may be taken
// over; ended reports whether an instance is known to have ended.
func (s *Store) Tick(ended func(hawthornrail.Instance) bool) []DueTakeover {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var due []DueTakeover
	for holding, r := range s.copies {
		r.backup.Tick(now)
		if r.backup.Superseded() {
			delete(s.copies, holding)
			continue
		}
		if len(r.trees) == 0 {
			// A holding without programs is not taken over; it ends with its
			// holder.
			if now.Sub(r.backup.LastContact()) > emptyCopyTimeout {
				delete(s.copies, holding)
			}
			continue
		}
		change := r.backup.MayTakeOver(now, ended(r.backup.Pairing().Holder()))
		if change != pair.ChangeNone {
			due = append(due, DueTakeover{holding: holding, change: change})
		}
	}
	return due
}

// Begin stops acknowledging steps of a holding and returns the pairing that a
// conditional update is to store in place of found.
func (s *Store) Begin(holding hawthornrail.Instance, found pair.Pairing) (pair.Pairing, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[holding]
	if !ok {
		return pair.Pairing{}, false
	}
	return r.backup.Begin(found)
}

// TakeOverSolo takes over a holding by the solo right.
func (s *Store) TakeOverSolo(holding hawthornrail.Instance) (Takeover, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[holding]
	if !ok {
		return Takeover{}, false
	}
	p, ok := r.backup.BeginSolo()
	if !ok {
		return Takeover{}, false
	}
	return s.takeOver(holding, r, p), true
}

// Observe processes the pairing stored in the platform. It returns the holding
// if the pairing shows that the takeover took effect.
func (s *Store) Observe(holding hawthornrail.Instance, found pair.Pairing) (Takeover, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[holding]
	if !ok || !r.backup.Observe(found) {
		return Takeover{}, false
	}
	return s.takeOver(holding, r, found), true
}

// AcceptHandoff accepts the hand-off of a holding from a holder that released it.
func (s *Store) AcceptHandoff(holding, from hawthornrail.Instance, epoch uint64) (Takeover, Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[holding]
	if !ok {
		return Takeover{}, Reply{}, fmt.Errorf("hand-over of %s: %w", holding, ErrRefused)
	}
	p, ok := r.backup.AcceptHandoff(from, epoch)
	if !ok {
		return Takeover{}, Reply{resigned: r.resignedFor(from, epoch)}, fmt.Errorf("hand-over of %s: %w", holding, ErrRefused)
	}
	return s.takeOver(holding, r, p), Reply{accepted: true}, nil
}

func (s *Store) takeOver(holding hawthornrail.Instance, r *replica, p pair.Pairing) Takeover {
	delete(s.copies, holding)
	t := Takeover{holding: holding, pairing: p}
	for _, tree := range r.trees {
		t.trees = append(t.trees, tree)
	}
	return t
}

// Resign gives up the rights to all copies and rejects further offers.
func (s *Store) Resign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, r := range s.copies {
		r.backup.Resign()
	}
}

// NeededCopies returns the number of copies whose holder sent a message within the
// given time and may not have another backup yet.
func (s *Store) NeededCopies(within time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.copies {
		if r.backup.Active() && s.clock.Since(r.backup.LastContact()) < within {
			n++
		}
	}
	return n
}
