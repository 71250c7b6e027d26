package reach

import "time"

const (
	// lossesToCheck is how many endpoints in a row must be lost until the path to a
	// service is checked at once; a single one may have a fault of its own.
	lossesToCheck = 2
	// maxUnchecked is how long fewer losses go unchecked while no endpoint is heard.
	maxUnchecked = 100 * time.Millisecond
	// unknownPause is the time without another check after one that showed nothing.
	unknownPause = time.Second
	// firstProbePause and maxProbePause bound the pause before the direct path is
	// probed again; it doubles with each probe that fails.
	firstProbePause = 250 * time.Millisecond
	maxProbePause   = time.Second
	// probesToReturn is how many probes in a row must succeed before requests are
	// sent directly again; relapses double it up to maxProbesToReturn.
	probesToReturn    = 2
	maxProbesToReturn = 8
	// relapseTime is the time after a return within which another loss is a relapse.
	relapseTime = 10 * time.Second
)

// Path is how the requests for a service reach its endpoints.
type Path int

// The paths.
const (
	// Direct means that this VM sends them itself.
	Direct Path = iota + 1
	// Unchecked means that a check runs which decides on the path.
	Unchecked
	// Indirect means that they go through other VMs, since this one reaches no endpoint.
	Indirect
	// None means that no VM that was asked reaches an endpoint.
	None
)

// Check is what a check of the path to a service has shown.
type Check struct {
	// Reached is set if an endpoint accepted a connection.
	Reached bool
	// Helpers is how many other VMs reach an endpoint.
	Helpers int
	// Denials is how many other VMs replied that they reach none either.
	Denials int
}

// Service is what a VM knows of its path to the endpoints of one service. Its methods
// take the current time as an argument; callers serialise them.
type Service struct {
	path Path
	// lost are the endpoints that were lost since one was heard last.
	lost       map[string]bool
	firstLoss  time.Time
	quietUntil time.Time

	probePause time.Duration
	nextProbe  time.Time
	successes  int
	needed     int
	returnedAt time.Time
}

// NewService returns a service whose endpoints count as reached.
func NewService() *Service {
	return &Service{path: Direct, lost: make(map[string]bool), needed: probesToReturn}
}

// Path returns the path of requests.
func (s *Service) Path() Path { return s.path }

// Suspicious reports whether an endpoint was lost and none was heard since.
func (s *Service) Suspicious() bool { return len(s.lost) > 0 }

// Heard records that an endpoint has sent bytes or accepted a connection. It ends a
// check; on another path only probes show that the direct one is back.
func (s *Service) Heard() {
	if s.path == Direct || s.path == Unchecked {
		s.path = Direct
		clear(s.lost)
	}
}

// Lost records that a connection to an endpoint failed, or that the endpoint leaves
// bytes unacknowledged.
func (s *Service) Lost(endpoint string, now time.Time) {
	if s.path != Direct {
		return
	}
	if len(s.lost) == 0 {
		s.firstLoss = now
	}
	s.lost[endpoint] = true
}

// BeginCheck reports whether a check is due, and begins it.
func (s *Service) BeginCheck(now time.Time) bool {
	if s.path != Direct || !s.Suspicious() || now.Before(s.quietUntil) {
		return false
	}
	if len(s.lost) < lossesToCheck && now.Sub(s.firstLoss) < maxUnchecked {
		return false
	}
	s.path = Unchecked
	return true
}

// Suspect begins a check although no endpoint was lost, because another service is out of
// reach; it reports whether one begins.
func (s *Service) Suspect(now time.Time) bool {
	if s.path != Direct || now.Before(s.quietUntil) {
		return false
	}
	s.path = Unchecked
	return true
}

// EndCheck records what a check has shown. An endpoint that was heard meanwhile has
// ended it already.
func (s *Service) EndCheck(c Check, now time.Time) {
	if s.path != Unchecked {
		return
	}
	switch {
	case c.Reached:
		s.Heard()
	case c.Helpers > 0:
		s.leave(Indirect, now)
	case c.Denials > 0:
		s.leave(None, now)
	default:
		// Without a reply of any VM nothing tells a cut from a slow link.
		s.Heard()
		s.quietUntil = now.Add(unknownPause)
	}
}

func (s *Service) leave(path Path, now time.Time) {
	s.path, s.successes, s.probePause = path, 0, firstProbePause
	s.nextProbe = now.Add(s.probePause)
	if s.returnedAt.IsZero() || now.Sub(s.returnedAt) >= relapseTime {
		s.needed = probesToReturn
		return
	}
	s.needed = min(2*s.needed, maxProbesToReturn)
}

// SetHelpers records whether other VMs reach an endpoint while this one does not.
func (s *Service) SetHelpers(found bool) {
	switch {
	case s.path == None && found:
		s.path = Indirect
	case s.path == Indirect && !found:
		s.path = None
	}
}

// UntilProbe returns how long to wait before the direct path is probed.
func (s *Service) UntilProbe(now time.Time) time.Duration { return max(0, s.nextProbe.Sub(now)) }

// Probed records the result of a probe, and reports whether requests are sent
// directly again because of it.
func (s *Service) Probed(reached bool, now time.Time) (returned bool) {
	if s.path != Indirect && s.path != None {
		return false
	}
	if !reached {
		s.successes = 0
		s.probePause = min(2*s.probePause, maxProbePause)
		s.nextProbe = now.Add(s.probePause)
		return false
	}
	s.successes++
	s.probePause, s.nextProbe = firstProbePause, now
	if s.successes < s.needed {
		if s.successes >= probesToReturn {
			s.nextProbe = now.Add(firstProbePause)
		}
		return false
	}
	s.path, s.returnedAt = Direct, now
	clear(s.lost)
	return true
}
