package ledger

import (
	"errors"
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// The reasons why a step does not apply.
var (
	// ErrSequence means that the step is not the next one of its tree.
	ErrSequence = errors.New("step out of sequence")
	// ErrUnknownProgram means that the tree has no such program.
	ErrUnknownProgram = errors.New("unknown program")
	// ErrEnded means that the program has ended and accepts no more calls.
	ErrEnded = errors.New("program has ended")
	// ErrBudget means that the program's budget does not allow the step.
	ErrBudget = errors.New("budget exhausted")
	// ErrCallOrder means that the call is not the program's next one.
	ErrCallOrder = errors.New("call out of order")
	// ErrCallState means that the state of the call does not allow the step.
	ErrCallState = errors.New("call in another state")
)

// Tree is a root program with its sub-agents.
type Tree struct {
	id         hawthornrail.ProgramID
	team       string
	deployment string
	sequence   uint64
	programs   []*Program
	steps      []hawthornrail.Step
}

// NewTree returns an empty tree; its first step must be a CreateTree.
func NewTree(id hawthornrail.ProgramID) *Tree {
	return &Tree{id: id.Tree()}
}

// ID returns the id of the root program.
func (t *Tree) ID() hawthornrail.ProgramID { return t.id }

// Team returns the team that the tree belongs to.
func (t *Tree) Team() string { return t.team }

// Deployment returns the deployment that the tree runs under.
func (t *Tree) Deployment() string { return t.deployment }

// Sequence returns the number of the last applied step.
func (t *Tree) Sequence() uint64 { return t.sequence }

// Steps returns all applied steps in order.
func (t *Tree) Steps() []hawthornrail.Step { return t.steps }

// Replay returns the tree that results from steps.
func Replay(steps []hawthornrail.Step) (*Tree, error) {
	if len(steps) == 0 {
		return nil, fmt.Errorf("replay without steps: %w", ErrSequence)
	}
	t := NewTree(steps[0].Tree())
	for _, s := range steps {
		if err := t.Apply(s); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Programs returns the programs of the tree by index.
func (t *Tree) Programs() []*Program { return t.programs }

// Program returns the program with the given index.
func (t *Tree) Program(index uint32) (*Program, error) {
	if int(index) >= len(t.programs) {
		return nil, fmt.Errorf("program %d of tree %s: %w", index, t.id, ErrUnknownProgram)
	}
	return t.programs[index], nil
}

// Ended reports whether every program of the tree has ended.
func (t *Tree) Ended() bool {
	for _, p := range t.programs {
		if p.ended == "" {
			return false
		}
	}
	return len(t.programs) > 0
}

// Next returns the step with the next sequence number for change.
func (t *Tree) Next(change hawthornrail.Change) hawthornrail.Step {
	return hawthornrail.NewStep(t.id, t.sequence+1, change)
}

// Check reports whether the step applies, without applying it.
func (t *Tree) Check(s hawthornrail.Step) error {
	if s.Sequence() != t.sequence+1 {
		return fmt.Errorf("step %d after %d of tree %s: %w", s.Sequence(), t.sequence, t.id, ErrSequence)
	}
	if err := t.checkChange(s.Change()); err != nil {
		return fmt.Errorf("step %d of tree %s: %w", s.Sequence(), t.id, err)
	}
	return nil
}

// Apply applies the step, or changes nothing and returns an error.
func (t *Tree) Apply(s hawthornrail.Step) error {
	if err := t.Check(s); err != nil {
		return err
	}
	t.applyChange(s.Change())
	t.sequence = s.Sequence()
	t.steps = append(t.steps, s)
	return nil
}

func (t *Tree) checkChange(change hawthornrail.Change) error {
	switch c := change.(type) {
	case hawthornrail.CreateTree:
		return t.checkCreateTree()
	case hawthornrail.CreateChild:
		return t.checkCreateChild(c)
	case hawthornrail.Intent:
		return t.checkIntent(c)
	case hawthornrail.Outcome:
		return t.checkOutcome(c)
	case hawthornrail.End:
		return t.checkEnd(c)
	default:
		return fmt.Errorf("change %T: %w", change, ErrCallState)
	}
}

func (t *Tree) applyChange(change hawthornrail.Change) {
	switch c := change.(type) {
	case hawthornrail.CreateTree:
		t.applyCreateTree(c)
	case hawthornrail.CreateChild:
		t.applyCreateChild(c)
	case hawthornrail.Intent:
		t.applyIntent(c)
	case hawthornrail.Outcome:
		t.applyOutcome(c)
	case hawthornrail.End:
		t.applyEnd(c)
	}
}

func (t *Tree) checkCreateTree() error {
	if len(t.programs) > 0 {
		return fmt.Errorf("create tree: %w", ErrCallState)
	}
	return nil
}

func (t *Tree) applyCreateTree(c hawthornrail.CreateTree) {
	t.team = c.Team()
	t.deployment = c.Deployment()
	t.programs = []*Program{newProgram(0, 0, c.Budget(), c.Created())}
}

func (t *Tree) checkCreateChild(c hawthornrail.CreateChild) error {
	parent, err := t.Program(c.Parent())
	if err != nil {
		return err
	}
	if parent.ended != "" {
		return ErrEnded
	}
	remaining := t.remaining(parent)
	if parent.budget.Depth() == 0 || remaining.children == 0 {
		return fmt.Errorf("sub-agents: %w", ErrBudget)
	}
	b := c.Budget()
	fits := b.Calls() <= remaining.calls && b.Tokens() <= remaining.tokens && b.Children() < remaining.children &&
		b.Depth() < parent.budget.Depth() && b.WallTime() <= parent.budget.WallTime()
	if !fits {
		return fmt.Errorf("sub-agent's share: %w", ErrBudget)
	}
	return nil
}

func (t *Tree) applyCreateChild(c hawthornrail.CreateChild) {
	child := newProgram(uint32(len(t.programs)), c.Parent(), c.Budget(), c.Created())
	t.programs = append(t.programs, child)
	t.programs[c.Parent()].children = append(t.programs[c.Parent()].children, child.index)
}

func (t *Tree) checkIntent(i hawthornrail.Intent) error {
	p, err := t.Program(i.Program())
	if err != nil {
		return err
	}
	if p.ended != "" {
		return ErrEnded
	}
	if i.Number() != p.nextCall {
		return fmt.Errorf("call %d, next is %d: %w", i.Number(), p.nextCall, ErrCallOrder)
	}
	if c := p.calls[i.Number()]; c != nil && !c.repeatable() {
		return fmt.Errorf("call %d: %w", i.Number(), ErrCallState)
	}
	remaining := t.remaining(p)
	if remaining.calls < 1 || remaining.tokens < i.ReservedTokens() {
		return ErrBudget
	}
	return nil
}

func (t *Tree) applyIntent(i hawthornrail.Intent) {
	p := t.programs[i.Program()]
	p.calls[i.Number()] = &Call{intent: i, pending: true}
	p.usedCalls++
	p.usedTokens += i.ReservedTokens()
	p.addEndpoint(i.Endpoint())
}

func (t *Tree) checkOutcome(o hawthornrail.Outcome) error {
	p, err := t.Program(o.Program())
	if err != nil {
		return err
	}
	if c := p.calls[o.Number()]; c == nil || !c.pending {
		return fmt.Errorf("outcome of call %d: %w", o.Number(), ErrCallState)
	}
	return nil
}

func (t *Tree) applyOutcome(o hawthornrail.Outcome) {
	p := t.programs[o.Program()]
	c := p.calls[o.Number()]
	c.pending = false
	c.outcome = o
	switch o.Verdict() {
	case hawthornrail.VerdictNotRun:
		p.usedTokens -= c.intent.ReservedTokens()
		p.usedCalls--
	case hawthornrail.VerdictRan:
		p.usedTokens -= c.intent.ReservedTokens()
		p.usedTokens += min(o.UsedTokens(), c.intent.ReservedTokens())
	default:
	}
	if !c.repeatable() {
		p.nextCall++
	}
	if o.EndReason() != "" {
		t.end(p, o.EndReason())
	}
}

func (t *Tree) checkEnd(e hawthornrail.End) error {
	p, err := t.Program(e.Program())
	if err != nil {
		return err
	}
	if p.ended != "" {
		return ErrEnded
	}
	return nil
}

func (t *Tree) applyEnd(e hawthornrail.End) {
	t.end(t.programs[e.Program()], e.Reason())
}

func (t *Tree) end(p *Program, reason string) {
	if p.ended != "" {
		return
	}
	p.ended = reason
	for _, child := range p.children {
		t.end(t.programs[child], reason)
	}
}

// amount is an amount of each resource that a budget limits.
type amount struct {
	calls    uint64
	tokens   uint64
	children uint32
}

// remaining returns the budget that the program may still use or assign to
// sub-agents.
func (t *Tree) remaining(p *Program) amount {
	s := t.spent(p)
	return amount{
		calls:    p.budget.Calls() - min(s.calls, p.budget.Calls()),
		tokens:   p.budget.Tokens() - min(s.tokens, p.budget.Tokens()),
		children: p.budget.Children() - min(s.children, p.budget.Children()),
	}
}

// spent returns the sum of the program's own usage, the full budgets of its live
// sub-agents and the actual usage of its ended ones.
func (t *Tree) spent(p *Program) amount {
	s := amount{calls: p.usedCalls, tokens: p.usedTokens}
	for _, index := range p.children {
		child := t.programs[index]
		childAmount := amount{child.budget.Calls(), child.budget.Tokens(), child.budget.Children()}
		if child.ended != "" {
			childAmount = t.spent(child)
		}
		s.calls += childAmount.calls
		s.tokens += childAmount.tokens
		s.children += childAmount.children + 1
	}
	return s
}

// Deadline returns the end of the program's wall time.
func (p *Program) Deadline() time.Time {
	return p.created.Add(p.budget.WallTime())
}
