package serve

import (
	"context"
	"slices"
	"strings"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/program/ledger"
)

const defaultEndReason = "ended by an operator"

// programs gives operators access to the programs whose home is this VM.
type programs struct {
	in processIn
}

// List returns every program whose home is this VM, sorted by id.
func (p programs) List() []api.Program {
	var reports []api.Program
	p.in.Home.Each(func(t *ledger.Tree) {
		for _, program := range t.Programs() {
			reports = append(reports, p.report(t, program))
		}
	})
	slices.SortFunc(reports, func(a, b api.Program) int { return strings.Compare(a.ID, b.ID) })
	return reports
}

// Show returns a program whose home is this VM.
func (p programs) Show(id string) (report api.Program, ok bool) {
	parsed, err := hawthornrail.ParseProgramID(id)
	if err != nil {
		return report, false
	}
	p.in.Home.Visit(parsed, func(t *ledger.Tree) {
		program, err := t.Program(parsed.Index())
		if err == nil && t.ID().Child(parsed.Index()).String() == id {
			report, ok = p.report(t, program), true
		}
	})
	return report, ok
}

// End ends a program whose home is this VM.
func (p programs) End(ctx context.Context, id, reason string) error {
	parsed, err := hawthornrail.ParseProgramID(id)
	if err != nil {
		return err
	}
	if reason == "" {
		reason = defaultEndReason
	}
	return p.in.Home.End(ctx, parsed, reason)
}

func (p programs) report(t *ledger.Tree, program *ledger.Program) api.Program {
	remaining := t.Deadline(program).Sub(p.in.Clock.Now())
	id := t.ID().Child(program.Index()).String()
	return api.Program{
		ID: id, Team: t.Team(), Deployment: t.Deployment(), Home: p.in.Self.VM(),
		NextCall: program.NextCall(), Pending: len(program.Pending()), Ended: program.Ended(),
		RemainingBudget: api.RemainingBudget{
			Calls: t.RemainingCalls(program), Tokens: t.RemainingTokens(program),
			WallTimeMS: max(0, remaining.Milliseconds()), Children: t.RemainingChildren(program),
		},
		Memory: p.memory(id, program.Endpoints()),
	}
}

// memory returns the engines that may still hold memory for a program.
func (p programs) memory(id string, endpoints []string) []string {
	snapshot := p.in.Controller.Snapshot()
	held := []string{}
	for _, name := range endpoints {
		e, ok := snapshot.Endpoint(name)
		if ok && e.Kind() == hawthornrail.EngineEndpoint && !p.in.Memory.Released(id, name) {
			held = append(held, name)
		}
	}
	return held
}
