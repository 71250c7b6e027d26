package streams

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// retention is the least time for which the origin of a stream is kept.
	retention = time.Minute
	// maxOrigins bounds the origins that are kept for each retention period.
	maxOrigins = 1 << 15
)

// origins holds the origins of streams for one to two retention periods.
type origins struct {
	current   map[string]hawthornrail.StreamOrigin
	previous  map[string]hawthornrail.StreamOrigin
	rotatedAt time.Time
}

func newOrigins() *origins { return &origins{current: make(map[string]hawthornrail.StreamOrigin)} }

// add adds the origin of a stream, or keeps it for longer. The first one stays: later events
// of a stream come from the same version.
func (o *origins) add(stream string, origin hawthornrail.StreamOrigin, now time.Time) {
	if known, ok := o.find(stream); ok {
		origin = known
	}
	if now.Sub(o.rotatedAt) > retention || len(o.current) >= maxOrigins {
		o.previous, o.current, o.rotatedAt = o.current, make(map[string]hawthornrail.StreamOrigin), now
	}
	o.current[stream] = origin
}

func (o *origins) find(stream string) (hawthornrail.StreamOrigin, bool) {
	if origin, ok := o.current[stream]; ok {
		return origin, true
	}
	origin, ok := o.previous[stream]
	return origin, ok
}
