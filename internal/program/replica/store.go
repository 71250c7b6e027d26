package replica

import (
	"errors"
	"fmt"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
	"hawthornrail.example/hawthornrail/internal/program/pair"
)

// ErrRefused means that this VM is not the backup in the message's epoch.
var ErrRefused = errors.New("not the backup in this epoch")

// Store holds the copies of the holdings whose backup is this VM.
type Store struct {
	clock hawthornrail.Clock

	mu      sync.Mutex
	copies  map[hawthornrail.Instance]*replica
	staged  map[hawthornrail.Instance]*replica
	seen    map[hawthornrail.Instance]uint64
	leaving bool
}

// replica is the copy of one holding.
type replica struct {
	offer  pair.Offer
	backup *pair.Backup
	trees  map[string]*ledger.Tree
	synced uint64
	// finished is since when a tree is known to have ended.
	finished map[string]time.Time
}

// NewStore returns an empty store.
func NewStore(clock hawthornrail.Clock) *Store {
	return &Store{
		clock:  clock,
		copies: make(map[hawthornrail.Instance]*replica),
		staged: make(map[hawthornrail.Instance]*replica),
		seen:   make(map[hawthornrail.Instance]uint64),
	}
}

// Beat is what a holder's heartbeat says.
type Beat struct {
	from    hawthornrail.Instance
	epoch   uint64
	grant   uint64
	reclaim bool
}

// NewBeat returns the heartbeat of an instance in an epoch, which grants the
// solo right by a number above 0 or claims it back.
func NewBeat(from hawthornrail.Instance, epoch, grant uint64, reclaim bool) Beat {
	return Beat{from: from, epoch: epoch, grant: grant, reclaim: reclaim}
}

// Answer is the backup's answer to a holder.
type Answer struct {
	accepted bool
	returned uint64
	resigned bool
}

// Accepted reports whether the backup goes along.
func (a Answer) Accepted() bool { return a.accepted }

// Returned returns the last grant given back.
func (a Answer) Returned() uint64 { return a.returned }

// Resigned reports whether the backup gave up its rights.
func (a Answer) Resigned() bool { return a.resigned }

// Beat takes a heartbeat.
func (s *Store) Beat(holding hawthornrail.Instance, m Beat) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[holding]
	if !ok {
		return Answer{}
	}
	if !r.backup.Accept(m.from, m.epoch, s.clock.Now()) {
		return Answer{resigned: r.resignedFor(m.from, m.epoch)}
	}
	if m.reclaim {
		r.backup.ReturnGrant(m.grant)
	} else if m.grant > 0 {
		r.backup.AcceptGrant(m.grant)
	}
	return Answer{accepted: true, returned: r.backup.Returned()}
}

func (r *replica) resignedFor(from hawthornrail.Instance, epoch uint64) bool {
	p := r.backup.Pairing()
	return r.backup.HasResigned() && p.Holder() == from && p.Epoch() == epoch
}

// Step applies a step of the holder.
func (s *Store) Step(from hawthornrail.Instance, epoch uint64, step hawthornrail.Step) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[step.Tree().Home()]
	if !ok || !r.backup.Accept(from, epoch, s.clock.Now()) {
		return fmt.Errorf("step of %s in epoch %d: %w", from, epoch, ErrRefused)
	}
	id := step.Tree().String()
	tree, ok := r.trees[id]
	if !ok {
		tree = ledger.NewTree(step.Tree())
	}
	if err := tree.Apply(step); err != nil {
		return fmt.Errorf("replica of %s: %w", from, err)
	}
	r.trees[id] = tree
	return nil
}

// Sync replaces the copy of a tree; a number that is not higher than the last
// one is of a late message.
func (s *Store) Sync(from hawthornrail.Instance, epoch, number uint64, steps []hawthornrail.Step) error {
	tree, err := ledger.Replay(steps)
	if err != nil {
		return fmt.Errorf("sync of %s: %w", from, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[tree.ID().Home()]
	if !ok || !r.backup.Accept(from, epoch, s.clock.Now()) || number <= r.synced {
		return fmt.Errorf("sync of %s in epoch %d: %w", from, epoch, ErrRefused)
	}
	r.synced = number
	r.trees[tree.ID().String()] = tree
	return nil
}

// Count returns the number of trees held for other VMs.
func (s *Store) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.copies {
		n += len(r.trees)
	}
	return n
}

// CountSolo returns the number of holdings that this VM may take over without
// the platform.
func (s *Store) CountSolo() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.copies {
		if r.backup.Solo() {
			n++
		}
	}
	return n
}
