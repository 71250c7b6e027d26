package hawthornrail

import "time"

// Budget limits the combined use of a program and its sub-agents.
type Budget struct {
	calls    uint64
	tokens   uint64
	wallTime time.Duration
	depth    uint32
	children uint32
}

// NewBudget returns a budget of calls, tokens and wall time, with limits on
// the depth of sub-agents and on their number.
func NewBudget(calls, tokens uint64, wallTime time.Duration, depth, children uint32) Budget {
	return Budget{calls: calls, tokens: tokens, wallTime: wallTime, depth: depth, children: children}
}

// Calls returns the number of calls allowed.
func (b Budget) Calls() uint64 { return b.calls }

// Tokens returns the number of prompt and completion tokens allowed.
func (b Budget) Tokens() uint64 { return b.tokens }

// WallTime returns the maximum wall-clock duration of the program.
func (b Budget) WallTime() time.Duration { return b.wallTime }

// Depth returns how many levels of sub-agents are allowed below the program.
func (b Budget) Depth() uint32 { return b.depth }

// Children returns how many sub-agents may be created below the program.
func (b Budget) Children() uint32 { return b.children }

// Within reports whether no value of b exceeds the corresponding one of limit.
func (b Budget) Within(limit Budget) bool {
	return b.calls <= limit.calls && b.tokens <= limit.tokens && b.wallTime <= limit.wallTime &&
		b.depth <= limit.depth && b.children <= limit.children
}
