package mirror

import (
	"maps"
	"slices"
	"time"
)

// boundedKind is a kind besides the configuration whose changes have to be in force
// within a time.
type boundedKind struct {
	// confirmed is when the store last confirmed that this VM holds all objects of the
	// kind.
	confirmed time.Time
	// extra is how much longer than one of the configuration a confirmation of the kind
	// lasts, so that both can be compared.
	extra time.Duration
}

// RequireKind lets this VM count as up to date only if the store has also confirmed the
// objects of a kind whose changes have to be in force after the time inForce.
func (h *StoreHealth) RequireKind(kind string, inForce time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bounded == nil {
		h.bounded = make(map[string]boundedKind)
	}
	h.bounded[kind] = boundedKind{extra: time.Duration(maxConfirmationShare*float64(inForce)) - h.maxConfirmationAge}
}

// ConfirmedKind records that the store confirmed that this VM holds the objects of a
// required kind at a time.
func (h *StoreHealth) ConfirmedKind(kind string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k, ok := h.bounded[kind]
	if !ok {
		return
	}
	k.confirmed = at
	h.bounded[kind] = k
	h.updateConfirmationLocked()
}

// RequiredKinds returns the kinds that a confirmation covers in addition to the
// configuration, sorted.
func (h *StoreHealth) RequiredKinds() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.bounded))
}

// covers reports whether a confirmation of the given kinds suffices for this VM. One
// from a VM of an older build does not cover kinds that it does not watch.
func (h *StoreHealth) covers(kinds []string) bool {
	for _, required := range h.RequiredKinds() {
		if !slices.Contains(kinds, required) {
			return false
		}
	}
	return true
}
