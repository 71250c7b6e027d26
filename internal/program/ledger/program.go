package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Program is the record of one program in its tree.
type Program struct {
	index      uint32
	parent     uint32
	budget     hawthornrail.Budget
	created    time.Time
	nextCall   uint64
	calls      map[uint64]*Call
	children   []uint32
	usedCalls  uint64
	usedTokens uint64
	endpoints  []string
	ended      string
}

func newProgram(index, parent uint32, budget hawthornrail.Budget, created time.Time) *Program {
	return &Program{
		index: index, parent: parent, budget: budget, created: created,
		nextCall: 1, calls: make(map[uint64]*Call),
	}
}

// Index returns the program's index in its tree.
func (p *Program) Index() uint32 { return p.index }

// Parent returns the index of the parent program; the root is its own parent.
func (p *Program) Parent() uint32 { return p.parent }

// Budget returns the program's limits.
func (p *Program) Budget() hawthornrail.Budget { return p.budget }

// Created returns when the program was created.
func (p *Program) Created() time.Time { return p.created }

// NextCall returns the number that the next call must have.
func (p *Program) NextCall() uint64 { return p.nextCall }

// UsedTokens returns the tokens used or reserved by the program itself.
func (p *Program) UsedTokens() uint64 { return p.usedTokens }

// Endpoints returns the endpoints that may hold memory for the program.
func (p *Program) Endpoints() []string { return p.endpoints }

// Ended returns why the program ended, or the empty string.
func (p *Program) Ended() string { return p.ended }

// Call returns the record of a call, or nil.
func (p *Program) Call(number uint64) *Call { return p.calls[number] }

// Pending returns the calls without an outcome, in the order of their numbers.
func (p *Program) Pending() []*Call {
	var pending []*Call
	for _, c := range p.calls {
		if c.pending {
			pending = append(pending, c)
		}
	}
	slices.SortFunc(pending, func(a, b *Call) int { return int(a.Number()) - int(b.Number()) })
	return pending
}

func (p *Program) addEndpoint(endpoint string) {
	if !slices.Contains(p.endpoints, endpoint) {
		p.endpoints = append(p.endpoints, endpoint)
	}
}

// Call is the record of one call.
type Call struct {
	intent  hawthornrail.Intent
	outcome hawthornrail.Outcome
	pending bool
}

// Number returns the call's number in its program.
func (c *Call) Number() uint64 { return c.intent.Number() }

// Intent returns the last intent of the call.
func (c *Call) Intent() hawthornrail.Intent { return c.intent }

// Outcome returns the last outcome of the call; it is zero while pending.
func (c *Call) Outcome() hawthornrail.Outcome { return c.outcome }

// Pending reports whether the call has no outcome yet.
func (c *Call) Pending() bool { return c.pending }

// repeatable reports whether the call may be dispatched again: the last attempt
// did not run, or it may have run and the call is idempotent.
func (c *Call) repeatable() bool {
	if c.pending {
		return false
	}
	switch c.outcome.Verdict() {
	case hawthornrail.VerdictNotRun:
		return true
	case hawthornrail.VerdictMayHaveRun:
		return c.intent.Idempotent()
	default:
		return false
	}
}

// Admission is the decision on an arriving call.
type Admission int

// The decisions on an arriving call.
const (
	// AdmitDispatch means that the call is the program's next one and may be
	// dispatched.
	AdmitDispatch Admission = iota + 1
	// AdmitReplay means that the call has a recorded outcome, which is returned.
	AdmitReplay
	// AdmitWait means that the same call is in flight.
	AdmitWait
	// AdmitGap means that an earlier call has not been made yet.
	AdmitGap
)

// Admit decides on a call that arrives at the program's home.
func (t *Tree) Admit(index uint32, number uint64, digest []byte) (Admission, error) {
	p, err := t.Program(index)
	if err != nil {
		return 0, err
	}
	if c := p.calls[number]; c != nil && (c.pending || !c.repeatable()) {
		if !bytes.Equal(c.intent.Digest(), digest) {
			return 0, fmt.Errorf("call %d with another request: %w", number, ErrCallState)
		}
		if c.pending {
			return AdmitWait, nil
		}
		return AdmitReplay, nil
	}
	if p.ended != "" {
		return 0, ErrEnded
	}
	if number > p.nextCall {
		return AdmitGap, nil
	}
	if number < p.nextCall {
		return 0, fmt.Errorf("call %d, next is %d: %w", number, p.nextCall, ErrCallOrder)
	}
	return AdmitDispatch, nil
}

// RemainingTokens returns the tokens that the program may still reserve.
func (t *Tree) RemainingTokens(p *Program) uint64 { return t.remaining(p).tokens }

// RemainingCalls returns the calls that the program may still make.
func (t *Tree) RemainingCalls(p *Program) uint64 { return t.remaining(p).calls }
