package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/controller"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// maxAge is the age of the configuration from which a VM watches the
	// platform itself.
	maxAge = 1750 * time.Millisecond
	// keepAlive is the longest pause between two messages to a follower.
	keepAlive = time.Second
	// refreshStep is how much newer the configuration must be known to be
	// before followers are told.
	refreshStep = 500 * time.Millisecond
	// silenceTimeout is how long a source may send nothing.
	silenceTimeout = 2500 * time.Millisecond
	// hopAge is added at each hop, above any transit time, so that an age
	// passed around in a circle only rises.
	hopAge       = 50 * time.Millisecond
	avoidTime    = 10 * time.Second
	retryWait    = 200 * time.Millisecond
	pullDelay    = 100 * time.Millisecond
	pullTimeout  = 2 * time.Second
	newsReceiver = 2
)

var (
	errMoved  = errors.New("another source is better placed")
	errBehind = errors.New("source is behind")
)

// Relay follows one VM and serves others; it says when this VM has to watch
// the platform itself.
type Relay struct {
	controller *controller.Controller
	members    hawthornrail.Membership
	client     *peer.Client
	clock      hawthornrail.Clock
	seeds      []string
	pulling    atomic.Bool

	mu     sync.Mutex
	failed map[string]time.Time
	fed    time.Time
	source string
}

// New returns a relay of a controller's configuration; seeds are addresses of
// VMs to ask while no member is known.
func New(c *controller.Controller, members hawthornrail.Membership, client *peer.Client, clock hawthornrail.Clock, seeds []string) *Relay {
	return &Relay{controller: c, members: members, client: client, clock: clock, seeds: seeds, failed: make(map[string]time.Time)}
}

func (r *Relay) plan() Plan {
	return NewPlan(r.members.Self(), r.members.Members(), r.avoided)
}

func (r *Relay) avoided(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.failed[address]
	return ok && r.clock.Since(at) < avoidTime
}

// Watches reports whether this VM has to watch the platform: by its place in
// the tree, or because no VM gives it a fresh configuration.
func (r *Relay) Watches() bool {
	r.mu.Lock()
	fed := r.fed
	r.mu.Unlock()
	return r.clock.Since(fed) > maxAge || r.plan().Watches()
}

// Advanced tells others of a revision that came from the platform, unless
// they hear it by following this VM.
func (r *Relay) Advanced() {
	if !r.plan().Watches() {
		r.spread()
	}
}

// Run follows another VM until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if source := r.choose(); source != "" {
			err := r.follow(ctx, source)
			if err != nil && !errors.Is(err, errMoved) {
				r.mu.Lock()
				r.failed[source] = r.clock.Now()
				r.mu.Unlock()
			}
		}
		clock.Wait(ctx, r.clock, retryWait/2+time.Duration(rand.Int64N(int64(retryWait))))
	}
}

func (r *Relay) choose() string {
	source := r.plan().Source()
	if source == "" && len(r.members.Members()) == 0 && len(r.seeds) > 0 {
		source = r.seeds[rand.IntN(len(r.seeds))]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = source
	return source
}

// follow takes updates from a source until it fails, falls silent or is no
// longer the one to follow.
func (r *Relay) follow(ctx context.Context, source string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	e, err := r.client.Open(ctx, source, followFrom(r.controller.Snapshot().Revision()))
	if err != nil {
		return fmt.Errorf("follow %s: %w", source, err)
	}
	defer e.Close()
	for {
		var m vmpb.ConfigChanges
		if err := e.Receive(&m); err != nil {
			return fmt.Errorf("follow %s: %w", source, err)
		}
		silence.Reset(silenceTimeout)
		u := fromWire(&m)
		if r.controller.Take(u) {
			r.mu.Lock()
			r.fed = r.clock.Now().Add(-u.Age)
			r.mu.Unlock()
		}
		if r.controller.Snapshot().Revision() < u.Revision {
			return errMoved
		}
		if source != r.plan().Source() {
			return errMoved
		}
	}
}

// Handle serves what other VMs ask of the configuration.
func (r *Relay) Handle(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
	if news := open.GetConfigNews(); news != nil {
		if m, ok := r.members.Member(s.From().VM()); ok {
			r.Heard(m, news.GetRevision())
		}
		return
	}
	if open.GetConfigStatus() != nil {
		_ = s.Send(&vmpb.ConfigStatusReply{
			Revision: r.controller.Snapshot().Revision(), AgeMs: r.controller.Age().Milliseconds(),
		})
		return
	}
	r.serve(ctx, open.GetConfigFollow().GetRevision(), s)
}

// serve sends updates to a follower until its stream ends.
func (r *Relay) serve(ctx context.Context, revision uint64, s *peer.Stream) {
	var known, sent time.Time
	for ctx.Err() == nil {
		changed := r.controller.Changed()
		u := r.controller.Since(revision)
		now := r.clock.Now()
		newer := now.Add(-u.Age).Sub(known) >= refreshStep
		if u.Revision > revision || newer || now.Sub(sent) >= keepAlive {
			if err := s.Send(toWire(u)); err != nil {
				return
			}
			known, sent = now.Add(-u.Age), now
			revision = max(revision, u.Revision)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-r.clock.After(keepAlive):
		}
	}
}

// Heard pulls the configuration from a member that holds a later revision,
// unless it arrives by itself meanwhile.
func (r *Relay) Heard(m hawthornrail.Member, revision uint64) {
	if revision <= r.controller.Snapshot().Revision() || !r.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.pulling.Store(false)
		r.clock.Sleep(pullDelay)
		if revision > r.controller.Snapshot().Revision() && r.pull(m.Address()) == nil {
			r.spread()
		}
	}()
}

func (r *Relay) pull(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var m vmpb.ConfigChanges
	if _, err := r.client.Ask(ctx, address, followFrom(r.controller.Snapshot().Revision()), &m); err != nil {
		return fmt.Errorf("pull configuration: %w", err)
	}
	if !r.controller.Take(fromWire(&m)) {
		return errBehind
	}
	return nil
}

// spread tells some members and this VM's source of the revision held here.
func (r *Relay) spread() {
	r.mu.Lock()
	receivers := []string{r.source}
	r.mu.Unlock()
	members := r.members.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members[:min(newsReceiver, len(members))] {
		receivers = append(receivers, m.Address())
	}
	open := &vmpb.Open{Kind: &vmpb.Open_ConfigNews{ConfigNews: &vmpb.ConfigNews{
		Revision: r.controller.Snapshot().Revision(),
	}}}
	for _, address := range receivers {
		if address != "" {
			go r.tell(address, open)
		}
	}
}
