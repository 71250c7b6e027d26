package home

import "hawthornrail.example/hawthornrail/internal/program/ledger"

// Adopt makes this VM the home of a tree that another one held.
func (h *Home) Adopt(tree *ledger.Tree) {
	h.put(&entry{tree: tree, claimed: make(map[callKey]bool), changed: make(chan struct{})})
}
