package version

import (
	"maps"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Retention is the longest window of a History.
const Retention = 10 * time.Minute

// History tells which versions of a service have been listed recently. Its methods
// take the current time as an argument; callers serialise them.
type History struct {
	// start is the time from which on no version has been missed.
	start    time.Time
	services map[string]*service
}

// service maps the versions of one service to whether an endpoint has them now,
// and to when that was last known.
type service struct {
	listed   map[string]bool
	lastSeen map[string]time.Time
}

// NewHistory returns a history without observations.
func NewHistory() *History { return &History{services: make(map[string]*service)} }

// Observe records the endpoints that are listed from now on; an empty list before
// the first one that is not says nothing.
func (h *History) Observe(endpoints []hawthornrail.Endpoint, now time.Time) {
	if h.start.IsZero() && len(endpoints) == 0 {
		return
	}
	if h.start.IsZero() {
		h.start = now
	}
	for _, s := range h.services {
		// What was listed until now has been seen until now.
		s.see(now)
		clear(s.listed)
	}
	for _, e := range endpoints {
		for _, name := range e.Serves() {
			h.service(name).listed[e.Version()] = true
		}
	}
	for _, s := range h.services {
		s.see(now)
	}
}

func (h *History) service(name string) *service {
	s, ok := h.services[name]
	if !ok {
		s = &service{listed: make(map[string]bool), lastSeen: make(map[string]time.Time)}
		h.services[name] = s
	}
	return s
}

func (s *service) see(now time.Time) {
	for v := range s.listed {
		s.lastSeen[v] = now
	}
}

// Restart records that versions may have been missed before now.
func (h *History) Restart(now time.Time) {
	if !h.start.IsZero() {
		h.start = now
	}
}

// Recent returns the number of versions that a service has now or had within a
// window.
func (h *History) Recent(name string, window time.Duration, now time.Time) int {
	s, ok := h.services[name]
	if !ok {
		return 0
	}
	s.see(now)
	maps.DeleteFunc(s.lastSeen, func(_ string, seen time.Time) bool { return now.Sub(seen) > Retention })
	count := 0
	for _, seen := range s.lastSeen {
		if now.Sub(seen) <= window {
			count++
		}
	}
	return count
}

// Sole returns the only version that a service has had within a window; ok is
// false if there were others, or if the endpoints have not been observed for that
// long.
func (h *History) Sole(name string, window time.Duration, now time.Time) (version string, ok bool) {
	if h.start.IsZero() || now.Sub(h.start) < window || h.Recent(name, window, now) != 1 {
		return "", false
	}
	for v, seen := range h.services[name].lastSeen {
		if now.Sub(seen) <= window {
			return v, true
		}
	}
	return "", false
}
