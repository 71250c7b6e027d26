package contact

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/reach"
)

const (
	// watchInterval is how often requests in flight are examined, and silenceLimit
	// how long an endpoint may leave bytes unacknowledged while none is heard.
	watchInterval = 100 * time.Millisecond
	silenceLimit  = 100 * time.Millisecond
	// maxSilence is how long a request may be silent, while no endpoint is heard, until it
	// is abandoned although its bytes were acknowledged before the cut.
	maxSilence = 500 * time.Millisecond
	// checkTimeout bounds a check of the path to a service.
	checkTimeout = 400 * time.Millisecond
	// findWithin is the time within which another VM must have heard an endpoint to
	// reach it without a connection of its own.
	findWithin = 100 * time.Millisecond
	// findPause is the least time between two searches for helpers.
	findPause = 250 * time.Millisecond
	// helpersValid is how long found helpers are used while this VM reaches some
	// endpoints itself.
	helpersValid = time.Second
	// minRetryAfter is the shortest retry delay of a request that no VM can serve.
	minRetryAfter = 200 * time.Millisecond
)

// service is what this VM knows of its path to the endpoints of one service.
type service struct {
	tracker *Tracker
	name    string
	// search and connects let calls at the same time share one result.
	search   singleflight.Group
	connects singleflight.Group

	// heardAt is when an endpoint was heard last, in nanoseconds of Unix time.
	heardAt atomic.Int64
	// suspicious is set while a contact changes the state, which mu guards.
	suspicious atomic.Bool

	mu       sync.Mutex
	state    *reach.Service
	helpers  *reach.Helpers
	foundAt  time.Time
	attempts map[*Attempt]bool
	watching bool
	// settled is closed once an endpoint is heard or a check has ended; it is nil unless
	// endpoints were lost since the last contact or a check runs.
	settled chan struct{}
	// checks counts the checks that have begun.
	checks int
	// connectedAt is when this VM last tried to connect because another one asked, and
	// connected whether an endpoint accepted.
	connectedAt time.Time
	connected   bool
	// cutOffAt is when the service was found to be out of reach.
	cutOffAt time.Time
}

func newService(t *Tracker, name string) *service {
	return &service{
		tracker: t, name: name, state: reach.NewService(), helpers: reach.NewHelpers(t.deps.DataCentre),
		attempts: make(map[*Attempt]bool),
	}
}

func (s *service) now() time.Time { return s.tracker.deps.Clock.Now() }

func (s *service) lastHeard() time.Time { return time.Unix(0, s.heardAt.Load()) }

func (s *service) currentPath() reach.Path {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Path()
}

func (s *service) add(a *Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[a] = true
	if s.watching {
		return
	}
	s.watching = true
	go s.watch()
}

func (s *service) remove(a *Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
}

func (s *service) recordContact(now time.Time) {
	s.heardAt.Store(now.UnixNano())
	if !s.suspicious.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Heard()
	s.settleLocked()
}

func (s *service) recordLoss(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Lost(endpoint, s.now())
	s.checkLocked()
}

// watch examines the requests in flight until there are none.
func (s *service) watch() {
	for s.examine() {
		s.tracker.deps.Clock.Sleep(watchInterval)
	}
}

// examine looks for endpoints out of reach and reports whether requests are in flight.
func (s *service) examine() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.attempts) == 0 {
		s.watching = false
		return false
	}
	now := s.now()
	if s.state.Path() != reach.Direct {
		s.abandonLocked(now)
		return true
	}
	if now.Sub(s.lastHeard()) < silenceLimit {
		return true
	}
	for a := range s.attempts {
		if a.lost(now) {
			s.state.Lost(a.endpoint, now)
		}
	}
	s.checkLocked()
	return true
}

// abandonLocked abandons the requests at endpoints out of reach, if the service is;
// s.mu must be held.
func (s *service) abandonLocked(now time.Time) {
	if path := s.state.Path(); path != reach.Indirect && path != reach.None {
		return
	}
	noneHeard := now.Sub(s.lastHeard()) >= maxSilence
	for a := range s.attempts {
		if a.mayAbandon() && (a.lost(now) || noneHeard && a.silentSince(now.Add(-maxSilence))) {
			a.abandon()
		}
	}
}

// checkLocked begins a check if one is due; s.mu must be held.
func (s *service) checkLocked() {
	due := s.state.BeginCheck(s.now())
	s.settleLocked()
	if due {
		s.beginLocked()
	}
}

// suspect begins a check whether endpoints were lost or not, and reports whether one
// begins or runs already.
func (s *service) suspect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Suspect(s.now()) {
		s.settleLocked()
		s.beginLocked()
	}
	return s.state.Path() != reach.Direct
}

func (s *service) beginLocked() {
	s.checks++
	number := s.checks
	s.tracker.deps.Loop(func(ctx context.Context) { s.check(ctx, number) })
}

// settleLocked lets requests wait while the path is in doubt, and releases them
// afterwards; s.mu must be held.
func (s *service) settleLocked() {
	path := s.state.Path()
	doubtful := path == reach.Unchecked || path == reach.Direct && s.state.Suspicious()
	s.suspicious.Store(doubtful)
	switch {
	case doubtful && s.settled == nil:
		s.settled = make(chan struct{})
	case !doubtful && s.settled != nil:
		close(s.settled)
		s.settled = nil
	}
}

// check connects to some endpoints and, if none accepts, asks other VMs.
func (s *service) check(ctx context.Context, number int) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	c := reach.Check{Reached: s.connectSome(ctx)}
	var helpers []hawthornrail.VM
	if !c.Reached && s.currentPath() == reach.Unchecked {
		helpers, c.Denials = s.tracker.deps.Detour.Find(ctx, s.name, findWithin)
		c.Helpers = len(helpers)
	}
	s.endCheck(number, c, helpers)
}

// endCheck records the result of a check, unless a later one has begun.
func (s *service) endCheck(number int, c reach.Check, helpers []hawthornrail.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number != s.checks {
		return
	}
	now := s.now()
	s.state.EndCheck(c, now)
	s.settleLocked()
	if path := s.state.Path(); path != reach.Indirect && path != reach.None {
		return
	}
	s.helpers.Set(helpers)
	s.foundAt, s.cutOffAt = now, now
	line := s.tracker.deps.Log.Event(events.ServiceUnreachable).Str("service", s.name).Int("helpers", c.Helpers).Int("denials", c.Denials).
		Int("in_flight", len(s.attempts))
	if s.heardAt.Load() != 0 {
		line.Millis("silent_ms", now.Sub(s.lastHeard()))
	}
	line.Emit()
	s.abandonLocked(now)
	s.tracker.deps.Loop(s.probe)
	s.tracker.deps.Loop(func(context.Context) { s.tracker.suspectOthers(s) })
}

// probe tries the direct path until requests return to it.
func (s *service) probe(ctx context.Context) {
	for {
		s.mu.Lock()
		pause := s.state.UntilProbe(s.now())
		s.mu.Unlock()
		if !clock.Wait(ctx, s.tracker.deps.Clock, pause) {
			return
		}
		reached := s.connectOne(ctx)
		if s.endProbe(reached) {
			return
		}
		if !reached && s.currentPath() == reach.None {
			s.find(ctx)
		}
	}
}

func (s *service) endProbe(reached bool) (returned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.state.Probed(reached, now) {
		return false
	}
	s.tracker.deps.Log.Event(events.ServiceReachable).Str("service", s.name).Millis("after_ms", now.Sub(s.cutOffAt)).Emit()
	return true
}

// retryAfter returns the retry delay of a request that no VM can serve: the path is
// tried again by then. A random part spreads the callers.
func (s *service) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := max(minRetryAfter, s.state.UntilProbe(s.now()))
	return wait + rand.N(wait)
}
