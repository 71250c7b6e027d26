package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// maxRoutes bounds the holdings whose holder is cached.
	maxRoutes = 4096
	// searchRetryDelay is how long a holding without a holder is not searched
	// for again, so that retries of its callers don't query the whole fleet
	// each time.
	searchRetryDelay = 200 * time.Millisecond
)

// Router finds the VM that holds a holding.
type Router struct {
	self     hawthornrail.Instance
	config   hawthornrail.Configuration
	members  hawthornrail.Membership
	client   *peer.Client
	holdings *Holdings

	mu       sync.Mutex
	routes   map[hawthornrail.Instance]route
	notFound map[hawthornrail.Instance]time.Time
}

// route is the VM that replied as the holder of a holding.
type route struct {
	address string
	epoch   uint64
}

// NewRouter returns a router with an empty cache of holders.
func NewRouter(c hawthornrail.Configuration, m hawthornrail.Membership, p *peer.Client, o *Holdings) *Router {
	return &Router{
		self: o.deps.Self, config: c, members: m, client: p, holdings: o,
		routes:   make(map[hawthornrail.Instance]route),
		notFound: make(map[hawthornrail.Instance]time.Time),
	}
}

// cachedAddress returns the address to try first: that of the cached holder,
// or of the VM that created the holding.
func (r *Router) cachedAddress(holding hawthornrail.Instance) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, ok := r.routes[holding]; ok {
		return found.address, true
	}
	if holding.VM() == r.self.VM() {
		return "", false
	}
	m, ok := r.members.Member(holding.VM())
	return m.Address(), ok && m.Instance().Incarnation() <= holding.Incarnation()
}

func (r *Router) remember(holding hawthornrail.Instance, found route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.routes) >= maxRoutes {
		clear(r.routes)
	}
	r.routes[holding] = found
}

func (r *Router) forget(holding hawthornrail.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.routes, holding)
}

// search queries the VMs of the holding's data centre, and then the others, for
// its holder.
func (r *Router) search(ctx context.Context, holding hawthornrail.Instance) (string, error) {
	if r.recentlyNotFound(holding) {
		return "", fmt.Errorf("no VM held %s a moment ago", holding)
	}
	var sameDataCentre, otherDataCentres []hawthornrail.VM
	for _, v := range r.config.Snapshot().VMs() {
		switch {
		case v.Name() == r.self.VM():
		case v.DataCentre() == holding.DataCentre():
			sameDataCentre = append(sameDataCentre, v)
		default:
			otherDataCentres = append(otherDataCentres, v)
		}
	}
	for _, group := range [][]hawthornrail.VM{sameDataCentre, otherDataCentres} {
		if found := r.queryAll(ctx, holding, group); found.epoch > 0 {
			r.remember(holding, found)
			return found.address, nil
		}
	}
	r.recordNotFound(holding)
	return "", fmt.Errorf("no VM that answers holds %s", holding)
}

func (r *Router) recentlyNotFound(holding hawthornrail.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	searched, ok := r.notFound[holding]
	return ok && r.holdings.deps.Clock.Since(searched) < searchRetryDelay
}

func (r *Router) recordNotFound(holding hawthornrail.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.notFound) >= maxRoutes {
		clear(r.notFound)
	}
	r.notFound[holding] = r.holdings.deps.Clock.Now()
}

// queryAll returns the reply with the highest epoch.
func (r *Router) queryAll(ctx context.Context, holding hawthornrail.Instance, vms []hawthornrail.VM) route {
	ctx, cancel := context.WithTimeout(ctx, pairRequestTimeout)
	defer cancel()
	replies := make(chan route, len(vms))
	for _, v := range vms {
		go func() { replies <- r.query(ctx, holding, v.Address()) }()
	}
	var latest route
	for range vms {
		select {
		case reply := <-replies:
			if reply.epoch > latest.epoch {
				latest = reply
			}
		case <-ctx.Done():
			return latest
		}
	}
	return latest
}

func (r *Router) query(ctx context.Context, holding hawthornrail.Instance, address string) route {
	var reply vmpb.WhoHoldsReply
	open := &vmpb.Open{Kind: &vmpb.Open_WhoHolds{WhoHolds: &vmpb.WhoHolds{Holding: holding.String()}}}
	if _, err := r.client.Invoke(ctx, address, open, &reply); err != nil {
		return route{}
	}
	return route{address: address, epoch: reply.GetEpoch()}
}

// withHolder calls send with the address of the program's holder, or with "" if
// that is this VM. It looks up the holder again and retries while send fails
// because the program has moved or its holder is unreachable.
func (r *Router) withHolder(ctx context.Context, id hawthornrail.ProgramID, send func(address string) error) error {
	holding := id.Home()
	address, ok := r.cachedAddress(holding)
	var lastErr error
	for range maxHolderAttempts {
		if r.holdings.Holds(holding) {
			address = ""
		} else if !ok {
			var err error
			if address, err = r.search(ctx, holding); err != nil {
				if lastErr != nil {
					return lastErr
				}
				return homeUnreachable(err)
			}
		}
		if lastErr = send(address); !missedHolder(lastErr) {
			return lastErr
		}
		r.forget(holding)
		ok = false
	}
	return lastErr
}

// missedHolder reports whether a request did not reach the program's holder.
func missedHolder(err error) bool {
	if hawthornrail.VerdictOf(err) != hawthornrail.VerdictNotRun {
		return false
	}
	code := hawthornrail.AsFailure(err).Code()
	return code == hawthornrail.CodeMoved || code == hawthornrail.CodeHomeUnreachable
}
