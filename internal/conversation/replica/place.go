package replica

import "context"

const (
	// shortBytes is the size up to which content is short. It has places of its own, so that
	// it does not wait for long content.
	shortBytes = 64 << 10
	// maxShort and maxLong bound the replies that hold content at once.
	maxShort = 64
	maxLong  = 8
)

// limits are the places for content that is read from the disk and sent to other VMs.
type limits struct{ short, long chan struct{} }

func newLimits() *limits {
	return &limits{short: make(chan struct{}, maxShort), long: make(chan struct{}, maxLong)}
}

// place is where the content of one reply is held, from the disk until it is sent.
type place struct {
	limits *limits
	taken  chan struct{}
}

// take waits for a place for content of a size, and reports whether it has one before ctx ends.
func (p *place) take(ctx context.Context, bytes int64) bool {
	places := p.limits.long
	if bytes <= shortBytes {
		places = p.limits.short
	}
	select {
	case places <- struct{}{}:
		p.taken = places
		return true
	case <-ctx.Done():
		return false
	}
}

// release gives the place back, if one was taken.
func (p *place) release() {
	if p.taken != nil {
		<-p.taken
	}
}
