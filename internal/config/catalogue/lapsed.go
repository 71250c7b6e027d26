package catalogue

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// lapsedEndpoints keeps endpoints whose entries are missing although they may
// still run: their entries expired during an outage of the store and may be
// registered again.
type lapsedEndpoints struct {
	expiry map[string]time.Time
}

// merge returns the endpoints of a list together with the previous ones that
// are missing from it and may be registered again within settling. A missing
// endpoint counts as removed if it was draining or if another endpoint has its
// address.
func (l *lapsedEndpoints) merge(previous, list []hawthornrail.Endpoint, settling time.Duration, now time.Time) []hawthornrail.Endpoint {
	names, addresses, instances := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, e := range list {
		names[e.Name()], addresses[e.Address()], instances[e.Instance()] = true, true, true
	}
	expiry := make(map[string]time.Time)
	for _, e := range previous {
		expiresAt, kept := l.expiry[e.Name()]
		if !kept {
			expiresAt = now.Add(settling)
		}
		if names[e.Name()] || instances[e.Instance()] || addresses[e.Address()] || e.Draining() || !now.Before(expiresAt) {
			continue
		}
		expiry[e.Name()] = expiresAt
		list = append(list, e)
	}
	l.expiry = expiry
	return list
}
