package home

import hawthornrail "hawthornrail.example/hawthornrail"

// Finished returns the ended programs held here that used an endpoint and
// have no call under way; it implements hawthornrail.FinishedPrograms.
func (h *Home) Finished() []hawthornrail.Finished {
	var list []hawthornrail.Finished
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			list = append(list, e.finished()...)
		}
	}
	return list
}

func (e *entry) finished() []hawthornrail.Finished {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []hawthornrail.Finished
	for _, p := range e.tree.Programs() {
		if p.Ended() == "" || len(p.Endpoints()) == 0 || len(p.Pending()) > 0 {
			continue
		}
		endpoints := append([]string{}, p.Endpoints()...)
		list = append(list, hawthornrail.NewFinished(e.tree.ID().Child(p.Index()), endpoints))
	}
	return list
}
