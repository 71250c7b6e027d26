package home

import hawthornrail "hawthornrail.example/hawthornrail"

// Finished returns the ended programs held by this VM that used an endpoint
// and have no call in flight; it implements hawthornrail.FinishedPrograms.
func (h *Home) Finished() []hawthornrail.FinishedProgram {
	var programs []hawthornrail.FinishedProgram
	for i := range h.shards {
		for _, e := range h.shards[i].entries() {
			programs = append(programs, e.finished()...)
		}
	}
	return programs
}

func (e *entry) finished() []hawthornrail.FinishedProgram {
	e.mu.Lock()
	defer e.mu.Unlock()
	var programs []hawthornrail.FinishedProgram
	for _, p := range e.tree.Programs() {
		if p.Ended() == "" || len(p.Endpoints()) == 0 || len(p.Pending()) > 0 {
			continue
		}
		endpoints := append([]string{}, p.Endpoints()...)
		programs = append(programs, hawthornrail.NewFinishedProgram(e.tree.ID().Child(p.Index()), endpoints))
	}
	return programs
}
