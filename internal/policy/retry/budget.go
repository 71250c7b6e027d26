package retry

import "sync"

const (
	defaultPart    = 0.1
	defaultReserve = 10.0 // retries
)

// Budget allows retries as a part of the requests, and a few beside.
type Budget struct {
	part    float64
	reserve float64

	mu   sync.Mutex
	left float64
}

// NewBudget returns a full budget with the parameters of the process.
func NewBudget() *Budget {
	return &Budget{part: defaultPart, reserve: defaultReserve, left: defaultReserve}
}

// Earn counts a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.reserve, b.left+b.part)
}

// Take takes a retry if the budget allows one more.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
