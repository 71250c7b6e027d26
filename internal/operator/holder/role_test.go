package holder

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against a holder that was suspended, was replaced meanwhile, and goes on as if
// all programs were announced to it.
func TestRoleIsInDoubtAfterAPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRole(clock)
	assertHeld := func(t *testing.T, want bool) {
		t.Helper()
		if got := r.isHeld(); got != want {
			t.Errorf("role is held: %t, want %t", got, want)
		}
	}
	for range 20 {
		clock.Advance(tickInterval)
		r.tick()
		assertHeld(t, true)
	}
	clock.Advance(failoverTimeout)
	t.Run("before the first tick", func(t *testing.T) { assertHeld(t, false) })
	r.tick()
	t.Run("after it", func(t *testing.T) { assertHeld(t, false) })
	t.Run("with an old answer of the platform", func(t *testing.T) {
		if r.confirm(clock.Now().Add(-failoverTimeout)) {
			t.Error("the role is confirmed")
		}
		assertHeld(t, false)
	})
	r.confirm(clock.Now())
	t.Run("once it is confirmed", func(t *testing.T) { assertHeld(t, true) })
	r.lose()
	t.Run("once another VM is registered", func(t *testing.T) { assertHeld(t, false) })
}

// Guards against a share that is used by a holder and its successor: what a VM has taken over
// counts from the claim, not from a confirmation.
func TestRoleIsTakenOverByAClaim(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRole(clock)
	assertSince := func(want time.Time) {
		t.Helper()
		if got := r.takenOverAt(); !got.Equal(want) {
			t.Errorf("role is taken over at %s, want %s", got, want)
		}
	}
	started := clock.Now()
	clock.Advance(tickInterval)
	r.confirm(clock.Now())
	assertSince(started)
	r.lose()
	r.takeOver()
	assertSince(clock.Now())
}
