package quarantine

import (
	"slices"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// lossRetention is how long a loss waits for its explanation. The entry of an
	// endpoint that crashed expires within seconds; an outage of the platform delays that.
	lossRetention = time.Minute
	// maxLosses and maxLossesOfTeam bound the losses that wait.
	maxLosses       = 1024
	maxLossesOfTeam = 256
)

// Loss is a request that an endpoint broke off, while nothing told a crash of the endpoint
// from a cut of this VM's link.
type Loss struct {
	Digests  hawthornrail.RequestDigests
	Team     string
	Endpoint string
	At       time.Time
	// ResourceCleared is set once another request for the resource has completed.
	ResourceCleared bool
}

// Suspects returns the digests of the request that no completed one had.
func (l Loss) Suspects() []hawthornrail.RequestDigest {
	if l.ResourceCleared {
		return []hawthornrail.RequestDigest{l.Digests.Content()}
	}
	return l.Digests.All()
}

// Losses holds losses until the list of endpoints explains them: an endpoint that has
// crashed does not renew its entry, one behind a cut link does. Callers serialise its
// methods.
type Losses struct {
	// waiting are the losses in the order in which they were added.
	waiting []Loss
}

// NewLosses returns an empty set of losses.
func NewLosses() *Losses { return &Losses{} }

// Len returns the number of losses that wait.
func (l *Losses) Len() int { return len(l.waiting) }

// Add adds a loss; the oldest one gives way if there are too many, of its team or at all.
func (l *Losses) Add(loss Loss) {
	ofTeam, oldestOfTeam := 0, 0
	for n, other := range l.waiting {
		if other.Team != loss.Team {
			continue
		}
		if ofTeam == 0 {
			oldestOfTeam = n
		}
		ofTeam++
	}
	switch {
	case ofTeam >= maxLossesOfTeam:
		l.waiting = slices.Delete(l.waiting, oldestOfTeam, oldestOfTeam+1)
	case len(l.waiting) >= maxLosses:
		l.waiting = slices.Delete(l.waiting, 0, 1)
	}
	l.waiting = append(l.waiting, loss)
}

// RecordCompletion drops the losses of requests like one that an endpoint has run to its
// end: it did not crash the endpoint.
func (l *Losses) RecordCompletion(digests hawthornrail.RequestDigests) {
	l.waiting = slices.DeleteFunc(l.waiting, func(loss Loss) bool { return loss.Digests.Content() == digests.Content() })
	for n := range l.waiting {
		if l.waiting[n].Digests.Resource() == digests.Resource() {
			l.waiting[n].ResourceCleared = true
		}
	}
}

// TakeCrashes removes and returns the losses whose endpoint is gone. It drops those of
// endpoints that drain, which end as planned, and those that are too old. listed returns
// the entry of an endpoint, if there is one.
func (l *Losses) TakeCrashes(listed func(endpoint string) (hawthornrail.Endpoint, bool), now time.Time) []Loss {
	var crashes, waiting []Loss
	for _, loss := range l.waiting {
		entry, ok := listed(loss.Endpoint)
		switch {
		case now.Sub(loss.At) > lossRetention || ok && entry.Draining():
		case ok:
			waiting = append(waiting, loss)
		default:
			crashes = append(crashes, loss)
		}
	}
	l.waiting = waiting
	return crashes
}
