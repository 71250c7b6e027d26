package metrics

import (
	"strconv"
	"strings"
	"sync"
)

// otherLabel replaces the values beyond the limit of a label.
const otherLabel = "other"

// Labelled returns the name of a metric with labels, given as alternating label
// names and values.
func Labelled(name string, pairs ...string) string {
	var b strings.Builder
	b.WriteString(name)
	separator := byte('{')
	for i := 0; i+1 < len(pairs); i += 2 {
		b.WriteByte(separator)
		b.WriteString(pairs[i] + "=" + strconv.Quote(pairs[i+1]))
		separator = ','
	}
	b.WriteByte('}')
	return b.String()
}

// capped limits the distinct values of a label; further values are replaced by
// otherLabel.
type capped struct {
	limit int

	mu   sync.Mutex
	seen map[string]bool
}

func newCapped(limit int) *capped { return &capped{limit: limit, seen: make(map[string]bool)} }

func (b *capped) value(v string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[v] {
		return v
	}
	if len(b.seen) >= b.limit {
		return otherLabel
	}
	b.seen[v] = true
	return v
}

// lru holds a limited number of values of a label; a new value evicts the
// least recently used one.
type lru struct {
	limit int

	mu       sync.Mutex
	useCount uint64
	lastUse  map[string]uint64
}

func newLRU(limit int) *lru { return &lru{limit: limit, lastUse: make(map[string]uint64)} }

// touch records a use of a value and returns the value that it evicts, if any.
func (r *lru) touch(v string) (evicted string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.useCount++
	if _, present := r.lastUse[v]; !present && len(r.lastUse) >= r.limit {
		evicted = r.leastRecentlyUsed()
		delete(r.lastUse, evicted)
	}
	r.lastUse[v] = r.useCount
	return evicted
}

func (r *lru) leastRecentlyUsed() string {
	oldest, least := "", r.useCount
	for v, lastUse := range r.lastUse {
		if lastUse < least {
			oldest, least = v, lastUse
		}
	}
	return oldest
}
