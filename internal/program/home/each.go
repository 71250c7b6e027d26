package home

import (
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

// Each calls f with every tree held by this VM; f must not retain the tree.
func (h *Home) Each(f func(t *ledger.Tree)) {
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			e.visit(f)
		}
	}
}

// Visit calls f with the tree of a program if this VM holds it; f must not
// retain the tree.
func (h *Home) Visit(id hawthornrail.ProgramID, f func(t *ledger.Tree)) {
	if e, err := h.entry(id); err == nil {
		e.visit(f)
	}
}

func (e *entry) visit(f func(t *ledger.Tree)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.tree)
}
