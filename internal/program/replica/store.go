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

// ErrRefused means that this VM is not the backup in the epoch of the message.
var ErrRefused = errors.New("not the backup in this epoch")

// Store holds the copies of the holdings whose backup is this VM.
type Store struct {
	clock hawthornrail.Clock

	mu     sync.Mutex
	copies map[hawthornrail.Instance]*replica
	// staged are the copies that have not been received completely.
	staged map[hawthornrail.Instance]*replica
	// highestOffered is the highest epoch of each holding that was offered.
	highestOffered map[hawthornrail.Instance]uint64
	draining       bool
}

// replica is the copy of one holding.
type replica struct {
	offer  pair.Offer
	backup *pair.Backup
	trees  map[string]*ledger.Tree
	// lastSync is the number of the last accepted Sync.
	lastSync uint64
	// finishedAt is when each tree was first seen to have ended.
	finishedAt map[string]time.Time
}

// NewStore returns an empty store.
func NewStore(clock hawthornrail.Clock) *Store {
	return &Store{
		clock:          clock,
		copies:         make(map[hawthornrail.Instance]*replica),
		staged:         make(map[hawthornrail.Instance]*replica),
		highestOffered: make(map[hawthornrail.Instance]uint64),
	}
}

// Heartbeat is the heartbeat of a holder.
type Heartbeat struct {
	from    hawthornrail.Instance
	epoch   uint64
	grant   uint64
	reclaim bool
}

// NewHeartbeat returns the heartbeat of an instance in an epoch. A grant above 0
// grants the solo right; with reclaim, the right is requested back.
func NewHeartbeat(from hawthornrail.Instance, epoch, grant uint64, reclaim bool) Heartbeat {
	return Heartbeat{from: from, epoch: epoch, grant: grant, reclaim: reclaim}
}

// Reply is the reply of a backup to its holder.
type Reply struct {
	accepted bool
	returned uint64
	resigned bool
}

// Accepted reports whether the backup accepted the message.
func (r Reply) Accepted() bool { return r.accepted }

// Returned returns the number of the last grant that was returned.
func (r Reply) Returned() uint64 { return r.returned }

// Resigned reports whether the backup has given up its rights.
func (r Reply) Resigned() bool { return r.resigned }

// Heartbeat processes a heartbeat of the holder.
func (s *Store) Heartbeat(holding hawthornrail.Instance, m Heartbeat) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[holding]
	if !ok {
		return Reply{}
	}
	if !r.backup.Accept(m.from, m.epoch, s.clock.Now()) {
		return Reply{resigned: r.resignedFor(m.from, m.epoch)}
	}
	if m.reclaim {
		r.backup.ReturnGrant(m.grant)
	} else if m.grant > 0 {
		r.backup.AcceptGrant(m.grant)
	}
	return Reply{accepted: true, returned: r.backup.Returned()}
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

// Sync replaces the copy of a tree. A message whose number is not higher than
// the last one was delayed and is rejected.
func (s *Store) Sync(from hawthornrail.Instance, epoch, number uint64, steps []hawthornrail.Step) error {
	tree, err := ledger.Replay(steps)
	if err != nil {
		return fmt.Errorf("sync of %s: %w", from, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.copies[tree.ID().Home()]
	if !ok || !r.backup.Accept(from, epoch, s.clock.Now()) || number <= r.lastSync {
		return fmt.Errorf("sync of %s in epoch %d: %w", from, epoch, ErrRefused)
	}
	r.lastSync = number
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
