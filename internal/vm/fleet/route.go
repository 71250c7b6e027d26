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
	// maxRoutes bounds the holdings whose holder is remembered.
	maxRoutes = 4096
	// searchPause is how long a holding that no VM holds is not searched
	// again, so that its callers' retries don't ask the whole fleet each time.
	searchPause = 200 * time.Millisecond
)

// Router finds the VM that holds a holding.
type Router struct {
	self     hawthornrail.Instance
	config   hawthornrail.Configuration
	members  hawthornrail.Membership
	client   *peer.Client
	holdings *Holdings

	mu     sync.Mutex
	routes map[hawthornrail.Instance]route
	missed map[hawthornrail.Instance]time.Time
}

// route is the VM that answered as the holder of a holding.
type route struct {
	address string
	epoch   uint64
}

// NewRouter returns a router that remembers no holder.
func NewRouter(c hawthornrail.Configuration, m hawthornrail.Membership, p *peer.Client, o *Holdings) *Router {
	return &Router{
		self: o.parts.Self, config: c, members: m, client: p, holdings: o,
		routes: make(map[hawthornrail.Instance]route),
		missed: make(map[hawthornrail.Instance]time.Time),
	}
}

// known returns the address to try first: the remembered holder's, or that of
// the VM that created the holding.
func (r *Router) known(holding hawthornrail.Instance) (string, bool) {
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

// search asks the VMs of the holding's data centre, and then the others, which
// of them holds it.
func (r *Router) search(ctx context.Context, holding hawthornrail.Instance) (string, error) {
	if r.missedLately(holding) {
		return "", fmt.Errorf("no VM held %s a moment ago", holding)
	}
	var near, far []hawthornrail.VM
	for _, v := range r.config.Snapshot().VMs() {
		switch {
		case v.Name() == r.self.VM():
		case v.DataCentre() == holding.DataCentre():
			near = append(near, v)
		default:
			far = append(far, v)
		}
	}
	for _, group := range [][]hawthornrail.VM{near, far} {
		if found := r.askAll(ctx, holding, group); found.epoch > 0 {
			r.remember(holding, found)
			return found.address, nil
		}
	}
	r.miss(holding)
	return "", fmt.Errorf("no VM that answers holds %s", holding)
}

func (r *Router) missedLately(holding hawthornrail.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	missed, ok := r.missed[holding]
	return ok && r.holdings.parts.Clock.Since(missed) < searchPause
}

func (r *Router) miss(holding hawthornrail.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missed) >= maxRoutes {
		clear(r.missed)
	}
	r.missed[holding] = r.holdings.parts.Clock.Now()
}

// askAll returns the answer with the highest epoch.
func (r *Router) askAll(ctx context.Context, holding hawthornrail.Instance, vms []hawthornrail.VM) route {
	ctx, cancel := context.WithTimeout(ctx, pairTimeout)
	defer cancel()
	answers := make(chan route, len(vms))
	for _, v := range vms {
		go func() { answers <- r.askOne(ctx, holding, v.Address()) }()
	}
	var best route
	for range vms {
		select {
		case a := <-answers:
			if a.epoch > best.epoch {
				best = a
			}
		case <-ctx.Done():
			return best
		}
	}
	return best
}

func (r *Router) askOne(ctx context.Context, holding hawthornrail.Instance, address string) route {
	var reply vmpb.WhoHoldsReply
	open := &vmpb.Open{Kind: &vmpb.Open_WhoHolds{WhoHolds: &vmpb.WhoHolds{Holding: holding.String()}}}
	if _, err := r.client.Ask(ctx, address, open, &reply); err != nil {
		return route{}
	}
	return route{address: address, epoch: reply.GetEpoch()}
}

// follow calls serve with the address of the program's holder, or with none
// for this VM, until it doesn't answer that the program moved.
func (r *Router) follow(ctx context.Context, id hawthornrail.ProgramID, serve func(address string) error) error {
	holding := id.Home()
	address, ok := r.known(holding)
	var last error
	for range maxHops {
		if r.holdings.Holds(holding) {
			address = ""
		} else if !ok {
			var err error
			if address, err = r.search(ctx, holding); err != nil {
				if last != nil {
					return last
				}
				return unreachable(err)
			}
		}
		if last = serve(address); !mayFollow(last) {
			return last
		}
		r.forget(holding)
		ok = false
	}
	return last
}

// mayFollow reports whether a request did not reach the program's holder.
func mayFollow(err error) bool {
	if hawthornrail.VerdictOf(err) != hawthornrail.VerdictNotRun {
		return false
	}
	code := hawthornrail.AsFailure(err).Code()
	return code == hawthornrail.CodeMoved || code == hawthornrail.CodeHomeUnreachable
}
