package retry

import "sync"

const (
	defaultRatio    = 0.1
	defaultCapacity = 10.0 // retries
)

// Budget is a token bucket that limits retries to a fraction of the requests plus
// a constant number.
type Budget struct {
	ratio    float64
	capacity float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget with the parameters of the process.
func NewBudget() *Budget {
	return &Budget{ratio: defaultRatio, capacity: defaultCapacity, tokens: defaultCapacity}
}

// Deposit adds ratio tokens for one request, up to the capacity.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.ratio)
}

// Withdraw removes the token for one retry and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
