package contact

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/reach"
)

const (
	// connectTimeout bounds the wait for a connection that shows whether an endpoint
	// is reached; its system accepts connections without its process.
	connectTimeout = 100 * time.Millisecond
	// connectPause is the least time between connections for the sake of other VMs.
	connectPause = 250 * time.Millisecond
	// maxConnects bounds the endpoints that a check connects to at once, and maxRefusals
	// those that it connects to while others refuse.
	maxConnects = 3
	maxRefusals = 24
)

// Route is how a request for a service is sent: directly, or through a helper.
type Route struct {
	helper   hawthornrail.VM
	indirect bool
}

// Helper returns the VM through which the request goes; ok is false if it goes
// directly.
func (r Route) Helper() (vm hawthornrail.VM, ok bool) { return r.helper, r.indirect }

func (s *service) route(ctx context.Context, key string, once bool, refused []string) (Route, error) {
	for searched := false; ; {
		s.mu.Lock()
		path, settled := s.state.Path(), s.settled
		helper, ok := s.helpers.Choose(key, refused)
		s.mu.Unlock()
		switch {
		case path == reach.Direct && (!once || settled == nil || !s.suspect()):
			return Route{}, nil
		case path == reach.Indirect && ok:
			return Route{helper: helper, indirect: true}, nil
		case path == reach.Indirect && !searched:
			searched = true
			s.find(ctx)
		case path == reach.Direct:
			// The check that was just begun is waited for.
		case settled != nil:
			if err := s.awaitContact(ctx, settled); err != nil {
				return Route{}, err
			}
		default:
			return Route{}, s.unreachable()
		}
	}
}

// awaitContact waits until an endpoint is heard or a check has ended.
func (s *service) awaitContact(ctx context.Context, settled <-chan struct{}) error {
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return hawthornrail.NewFailure(hawthornrail.CodeDeadline, hawthornrail.VerdictNotRun, fmt.Errorf("check the path to service %s: %w", s.name, context.Cause(ctx)))
	}
}

func (s *service) unreachable() error {
	f := hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "no VM that replies reaches an endpoint of service %s", s.name)
	return f.WithRetryAfter(s.retryAfter())
}

// helper returns a VM that reaches endpoints, for a request that this VM could not
// send itself although it reaches some endpoints.
func (s *service) helper(ctx context.Context, key string, refused []string) (hawthornrail.VM, bool) {
	s.mu.Lock()
	valid := s.now().Sub(s.foundAt) < helpersValid
	s.mu.Unlock()
	if !valid {
		s.find(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.helpers.Choose(key, refused)
}

func (s *service) removeHelper(vm hawthornrail.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.helpers.Remove(vm.Name())
}

// find asks other VMs whether they reach endpoints; calls at the same time share one
// search, and searches pause in between.
func (s *service) find(ctx context.Context) {
	_, _, _ = s.search.Do("", func() (any, error) {
		s.mu.Lock()
		due := s.now().Sub(s.foundAt) >= findPause
		s.mu.Unlock()
		if !due {
			return nil, nil
		}
		// The search serves all requests that wait for it, so it outlasts this one.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		defer cancel()
		helpers, _ := s.tracker.deps.Detour.Find(ctx, s.name, findWithin)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.helpers.Set(helpers)
		s.foundAt = s.now()
		s.state.SetHelpers(len(helpers) > 0)
		return nil, nil
	})
}

// connectForOther is like connectSome for another VM that asks; calls at about the same
// time share one result.
func (s *service) connectForOther(ctx context.Context) bool {
	connected, _, _ := s.connects.Do("", func() (any, error) {
		s.mu.Lock()
		connected, valid := s.connected, s.now().Sub(s.connectedAt) < connectPause
		s.mu.Unlock()
		if valid {
			return connected, nil
		}
		connected = s.connectSome(context.WithoutCancel(ctx))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connected, s.connectedAt = connected, s.now()
		return connected, nil
	})
	return connected == true
}

// connectSome reports whether one of some endpoints accepts a connection, those that
// were not lost first.
func (s *service) connectSome(ctx context.Context) bool {
	s.mu.Lock()
	waiting := make(map[string]bool, len(s.attempts))
	for a := range s.attempts {
		waiting[a.endpoint] = true
	}
	s.mu.Unlock()
	candidates := endpoints(s.tracker.deps.Config.Snapshot(), s.name, nil)
	slices.SortStableFunc(candidates, func(x, y hawthornrail.Endpoint) int {
		switch {
		case waiting[x.Name()] == waiting[y.Name()]:
			return 0
		case waiting[x.Name()]:
			return 1
		default:
			return -1
		}
	})
	return s.tracker.connectAny(ctx, candidates)
}

// connectOne reports whether a random endpoint accepts a connection. A service
// without endpoints needs no detour.
func (s *service) connectOne(ctx context.Context) bool {
	candidates := endpoints(s.tracker.deps.Config.Snapshot(), s.name, nil)
	if len(candidates) == 0 {
		return true
	}
	return s.tracker.connectAny(ctx, candidates[:1])
}

// connectAny reports whether an endpoint accepts a connection. It goes on to further endpoints
// only while some refuse: an endpoint whose process has ended refuses, one that is out of reach
// does not respond.
func (t *Tracker) connectAny(ctx context.Context, candidates []hawthornrail.Endpoint) bool {
	candidates = candidates[:min(len(candidates), maxRefusals)]
	for chunk := range slices.Chunk(candidates, maxConnects) {
		accepted, refused := t.connectAll(ctx, chunk)
		if accepted || !refused {
			return accepted
		}
	}
	return false
}

// connectAll connects to endpoints at once and reports whether one accepts, or else whether
// one refuses.
func (t *Tracker) connectAll(ctx context.Context, candidates []hawthornrail.Endpoint) (accepted, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	results := make(chan error, len(candidates))
	for _, e := range candidates {
		go func() { results <- t.deps.Connector.Connect(ctx, e.Address()) }()
	}
	for range candidates {
		err := <-results
		if err == nil {
			return true, false
		}
		refused = refused || errors.Is(err, syscall.ECONNREFUSED)
	}
	return false, refused
}

// endpoints returns, in random order, the endpoints of a service that are not
// draining, or of all services if name is empty.
func endpoints(snapshot *hawthornrail.Snapshot, name string, excluded []string) []hawthornrail.Endpoint {
	var list []hawthornrail.Endpoint
	for _, e := range snapshot.Endpoints() {
		if e.Draining() || slices.Contains(excluded, e.Name()) || name != "" && !slices.Contains(e.Serves(), name) {
			continue
		}
		list = append(list, e)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
