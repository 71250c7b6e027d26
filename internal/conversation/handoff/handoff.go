package handoff

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	// callTimeout bounds a call. It is well below the time that the end of a response waits,
	// so that a call whose response is lost is repeated.
	callTimeout = 350 * time.Millisecond
	// retryPause is the pause before a failed call is repeated.
	retryPause = 100 * time.Millisecond
	// maxFailures is the number of failed calls in a row from which on the store is not
	// relied on: a single response may be lost.
	maxFailures = 2
	// firstProbePause and maxProbePause bound the pause between two probes of a store that is
	// not relied on; it doubles each time.
	firstProbePause = 500 * time.Millisecond
	maxProbePause   = 2 * time.Second
	// storeShare is the part, as a divisor, of the store's writes that all VMs together use
	// for turns. A kept turn is one write, and another when it is removed.
	storeShare = 4
	// minBurst is how many turns a VM may keep at once at least.
	minBurst = 10
)

var (
	// ErrTooLarge means that a turn does not fit into the store.
	ErrTooLarge = errors.New("turn is too large for the platform's store")
	// ErrUnavailable means that the store has not responded lately.
	ErrUnavailable = errors.New("platform's store does not respond")
	// ErrOverRate means that this VM's share of the store's writes is used up.
	ErrOverRate = errors.New("this VM's share of the writes to the platform's store is used up")
)

// Dependencies are the settings and dependencies of a Handoff.
type Dependencies struct {
	Keeper hawthornrail.TurnKeeper
	// WritesPerSecond is how many writes the store takes from all VMs together.
	WritesPerSecond float64
	Config          hawthornrail.Configuration
	Clock           hawthornrail.Clock
	Log             events.Logger
}

// Handoff keeps turns in the platform's store.
type Handoff struct {
	deps    Dependencies
	limiter *rate.Limiter

	mu sync.Mutex
	// failures is the number of failed calls in a row.
	failures int
	probing  bool
	// nextProbe is the time of the next probe, and pause the pause after it.
	nextProbe time.Time
	pause     time.Duration
}

// New returns a handoff that relies on the store.
func New(deps Dependencies) *Handoff {
	return &Handoff{deps: deps, limiter: rate.NewLimiter(rate.Limit(deps.WritesPerSecond), minBurst), pause: firstProbePause}
}

// Usable reports whether a turn whose input has a size in bytes can probably be kept.
func (h *Handoff) Usable(inputBytes int64) bool {
	if inputBytes > h.deps.Keeper.MaxBytes() || !h.responds() {
		return false
	}
	now := h.deps.Clock.Now()
	h.setShare(now)
	return h.limiter.TokensAt(now) >= 1
}

// responds reports whether the store is relied on. If it is not, it is probed.
func (h *Handoff) responds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures < maxFailures {
		return true
	}
	if !h.probing && !h.deps.Clock.Now().Before(h.nextProbe) {
		h.probing = true
		go h.probe()
	}
	return false
}

// setShare sets the limit to this VM's share of the writes.
func (h *Handoff) setShare(now time.Time) {
	vms := max(1, len(h.deps.Config.Snapshot().EntryVMs()))
	share := h.deps.WritesPerSecond / storeShare / float64(vms)
	h.limiter.SetLimitAt(now, rate.Limit(share))
	h.limiter.SetBurstAt(now, max(minBurst, int(share)))
}

// probe reads a turn that does not exist, to find out whether the store responds.
func (h *Handoff) probe() {
	_, _, err := h.read(context.Background(), hawthornrail.TurnRef{}, h.deps.Keeper.Kept)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
	if err != nil {
		h.nextProbe = h.deps.Clock.Now().Add(h.pause)
		h.pause = min(2*h.pause, maxProbePause)
	}
}

// Keep stores a turn. It repeats calls that fail until ctx ends.
func (h *Handoff) Keep(ctx context.Context, t hawthornrail.Turn) (hawthornrail.KeptTurn, error) {
	if t.Size() > h.deps.Keeper.MaxBytes() {
		return hawthornrail.KeptTurn{}, ErrTooLarge
	}
	now := h.deps.Clock.Now()
	h.setShare(now)
	if !h.limiter.AllowN(now, 1) {
		return hawthornrail.KeptTurn{}, ErrOverRate
	}
	for {
		kept, err := h.keepOnce(ctx, t)
		if err == nil || ctx.Err() != nil || !clock.Wait(ctx, h.deps.Clock, retryPause) {
			return kept, err
		}
	}
}

func (h *Handoff) keepOnce(ctx context.Context, t hawthornrail.Turn) (hawthornrail.KeptTurn, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kept, err := h.deps.Keeper.Keep(callCtx, t)
	h.record(ctx, err)
	return kept, err
}

// Kept returns a turn; ok is false if it is certain that the store has none.
func (h *Handoff) Kept(ctx context.Context, ref hawthornrail.TurnRef) (kept hawthornrail.KeptTurn, ok bool, err error) {
	if !h.responds() {
		return hawthornrail.KeptTurn{}, false, ErrUnavailable
	}
	return h.read(ctx, ref, h.deps.Keeper.Kept)
}

// KeptCached is like Kept but cheaper; its reply may be some seconds old.
func (h *Handoff) KeptCached(ctx context.Context, ref hawthornrail.TurnRef) (kept hawthornrail.KeptTurn, ok bool, err error) {
	if !h.responds() {
		return hawthornrail.KeptTurn{}, false, ErrUnavailable
	}
	return h.read(ctx, ref, h.deps.Keeper.KeptCached)
}

// readKept reads a turn from the store.
type readKept func(ctx context.Context, ref hawthornrail.TurnRef) (kept hawthornrail.KeptTurn, ok bool, err error)

func (h *Handoff) read(ctx context.Context, ref hawthornrail.TurnRef, from readKept) (kept hawthornrail.KeptTurn, ok bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kept, ok, err = from(callCtx, ref)
	h.record(ctx, err)
	return kept, ok, err
}

// Remove removes a turn of which there are enough copies. If that fails, the VMs with a disk
// remove it later.
func (h *Handoff) Remove(ctx context.Context, kept hawthornrail.KeptTurn) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h.record(ctx, h.deps.Keeper.Remove(callCtx, kept))
}

// record records whether a call has failed, and logs when the store begins and ceases to be
// relied on. A call whose caller's ctx has ended says nothing about the store.
func (h *Handoff) record(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		if h.failures >= maxFailures {
			h.deps.Log.Event(events.HandoffAvailable).Emit()
		}
		h.failures, h.pause = 0, firstProbePause
		return
	}
	h.failures++
	if h.failures == maxFailures {
		h.nextProbe = h.deps.Clock.Now().Add(h.pause)
		h.deps.Log.Event(events.HandoffUnavailable).Err(err).Emit()
	}
}
