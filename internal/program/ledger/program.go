package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Program is one agent program's record in its tree.
type Program struct {
	index      uint32
	parent     uint32
	budget     hawthornrail.Budget
	created    time.Time
	next       uint64
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
		next: 1, calls: make(map[uint64]*Call),
	}
}

// Index returns the program's index in its tree.
func (p *Program) Index() uint32 { return p.index }

// Parent returns the index of the parent program; the root is its own.
func (p *Program) Parent() uint32 { return p.parent }

// Budget returns the program's limits.
func (p *Program) Budget() hawthornrail.Budget { return p.budget }

// Created returns when the program started.
func (p *Program) Created() time.Time { return p.created }

// NextCall returns the number that the next call must have.
func (p *Program) NextCall() uint64 { return p.next }

// UsedTokens returns the tokens used or reserved by the program itself.
func (p *Program) UsedTokens() uint64 { return p.usedTokens }

// Endpoints returns the endpoints that may hold memory for the program.
func (p *Program) Endpoints() []string { return p.endpoints }

// Ended returns why the program ended, or the empty string.
func (p *Program) Ended() string { return p.ended }

// Call returns the record of a call, or nil.
func (p *Program) Call(number uint64) *Call { return p.calls[number] }

// Pending returns the calls whose outcome is not known, in order.
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

func (p *Program) holdEndpoint(endpoint string) {
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

// Pending reports whether the call's outcome is not known.
func (c *Call) Pending() bool { return c.pending }

// repeatable reports whether the same number may be dispatched again: the
// last try did not run, or it may run more than once.
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

// Admission is what to do with an arriving call.
type Admission int

// The admissions of a call.
const (
	// AdmitDispatch means that the call is the program's next one.
	AdmitDispatch Admission = iota + 1
	// AdmitReplay means that the call has a recorded outcome.
	AdmitReplay
	// AdmitWait means that the same call is in flight.
	AdmitWait
	// AdmitGap means that an earlier call has not been made yet.
	AdmitGap
)

// Admit decides what to do with a call that arrives at the program's home.
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
	if number > p.next {
		return AdmitGap, nil
	}
	if number < p.next {
		return 0, fmt.Errorf("call %d, next is %d: %w", number, p.next, ErrCallOrder)
	}
	return AdmitDispatch, nil
}

// LeftTokens returns the tokens that the program may still reserve.
func (t *Tree) LeftTokens(p *Program) uint64 { return t.left(p).tokens }

// LeftCalls returns the calls that the program may still make.
func (t *Tree) LeftCalls(p *Program) uint64 { return t.left(p).calls }
