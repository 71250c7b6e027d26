package replica

import (
	"fmt"
	"sync"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

// Store holds the trees replicated to this VM by their home's instance.
type Store struct {
	mu    sync.Mutex
	homes map[hawthornrail.Instance]map[string]*ledger.Tree
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{homes: make(map[hawthornrail.Instance]map[string]*ledger.Tree)}
}

// Accept applies a step that a home sent.
func (s *Store) Accept(home hawthornrail.Instance, step hawthornrail.Step) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	trees, ok := s.homes[home]
	if !ok {
		trees = make(map[string]*ledger.Tree)
		s.homes[home] = trees
	}
	id := step.Tree().String()
	tree, ok := trees[id]
	if !ok {
		tree = ledger.NewTree(step.Tree())
	}
	if err := tree.Apply(step); err != nil {
		return fmt.Errorf("replica of %s: %w", home, err)
	}
	trees[id] = tree
	return nil
}

// Count returns the number of trees held for other VMs.
func (s *Store) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, trees := range s.homes {
		n += len(trees)
	}
	return n
}
