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
	// keepAliveInterval is the longest pause between two messages to a
	// follower.
	keepAliveInterval = time.Second
	// minAgeGain is how much newer the configuration must be known to be before
	// followers get an update without changes.
	minAgeGain = 500 * time.Millisecond
	// sourceTimeout is how long a source may send nothing.
	sourceTimeout = 2500 * time.Millisecond
	// hopAge is added to the age at each hop. It exceeds any transit time, so
	// that an age that is relayed in a cycle only increases.
	hopAge            = 50 * time.Millisecond
	avoidPeriod       = 10 * time.Second
	retryInterval     = 200 * time.Millisecond
	pullDelay         = 100 * time.Millisecond
	pullTimeout       = 2 * time.Second
	announceReceivers = 2
)

var (
	errSourceChanged = errors.New("another source is preferred")
	errSourceBehind  = errors.New("source is behind")
)

// Relay follows the configuration of one VM and serves it to others. It
// determines when this VM has to watch the platform itself.
type Relay struct {
	controller *controller.Controller
	members    hawthornrail.Membership
	client     *peer.Client
	clock      hawthornrail.Clock
	seeds      []string
	pulling    atomic.Bool

	mu          sync.Mutex
	failedAt    map[string]time.Time
	currentAsOf time.Time
	source      string
}

// New returns a relay of a controller's configuration; seeds are addresses of
// VMs to follow while no member is known.
func New(c *controller.Controller, members hawthornrail.Membership, client *peer.Client, clock hawthornrail.Clock, seeds []string) *Relay {
	return &Relay{controller: c, members: members, client: client, clock: clock, seeds: seeds, failedAt: make(map[string]time.Time)}
}

func (r *Relay) plan() Plan {
	return NewPlan(r.members.Self(), r.members.Members(), r.avoided)
}

func (r *Relay) avoided(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.failedAt[address]
	return ok && r.clock.Since(at) < avoidPeriod
}

// ShouldWatch reports whether this VM has to watch the platform: because of its
// place in the tree, or because no VM sends it a fresh configuration.
func (r *Relay) ShouldWatch() bool {
	r.mu.Lock()
	currentAsOf := r.currentAsOf
	r.mu.Unlock()
	return r.clock.Since(currentAsOf) > maxAge || r.plan().Watches()
}

// AnnounceRevision notifies others of a revision that came from the platform,
// unless they receive it by following this VM.
func (r *Relay) AnnounceRevision() {
	if !r.plan().Watches() {
		r.announce()
	}
}

// Run follows another VM until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if source := r.chooseSource(); source != "" {
			err := r.follow(ctx, source)
			if err != nil && !errors.Is(err, errSourceChanged) {
				r.mu.Lock()
				r.failedAt[source] = r.clock.Now()
				r.mu.Unlock()
			}
		}
		clock.Wait(ctx, r.clock, retryInterval/2+time.Duration(rand.Int64N(int64(retryInterval))))
	}
}

func (r *Relay) chooseSource() string {
	source := r.plan().Source()
	if source == "" && len(r.members.Members()) == 0 && len(r.seeds) > 0 {
		source = r.seeds[rand.IntN(len(r.seeds))]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = source
	return source
}

// follow applies updates from a source until it fails, is unresponsive or is no
// longer the one to follow.
func (r *Relay) follow(ctx context.Context, source string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(sourceTimeout, cancel)
	defer timer.Stop()
	exchange, err := r.client.Open(ctx, source, followFrom(r.controller.Snapshot().Revision()))
	if err != nil {
		return fmt.Errorf("follow %s: %w", source, err)
	}
	defer exchange.Close()
	for {
		var m vmpb.ConfigChanges
		if err := exchange.Receive(&m); err != nil {
			return fmt.Errorf("follow %s: %w", source, err)
		}
		timer.Reset(sourceTimeout)
		update := fromWire(&m)
		if r.controller.Apply(update) {
			r.mu.Lock()
			r.currentAsOf = r.clock.Now().Add(-update.Age)
			r.mu.Unlock()
		}
		if r.controller.Snapshot().Revision() < update.Revision {
			return errSourceChanged
		}
		if source != r.plan().Source() {
			return errSourceChanged
		}
	}
}

// Handle serves the notifications and requests of other VMs about the
// configuration.
func (r *Relay) Handle(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
	if notification := open.GetConfigNews(); notification != nil {
		if m, ok := r.members.Member(s.From().VM()); ok {
			r.HandleRevision(m, notification.GetRevision())
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
	var currentAsOf, lastSent time.Time
	for ctx.Err() == nil {
		nextUpdate := r.controller.NextUpdate()
		update := r.controller.UpdateSince(revision)
		now := r.clock.Now()
		fresher := now.Add(-update.Age).Sub(currentAsOf) >= minAgeGain
		if update.Revision > revision || fresher || now.Sub(lastSent) >= keepAliveInterval {
			if err := s.Send(toWire(update)); err != nil {
				return
			}
			currentAsOf, lastSent = now.Add(-update.Age), now
			revision = max(revision, update.Revision)
		}
		select {
		case <-ctx.Done():
		case <-nextUpdate:
		case <-r.clock.After(keepAliveInterval):
		}
	}
}

// HandleRevision pulls the configuration from a member that holds a later revision,
// unless it arrives from the source meanwhile.
func (r *Relay) HandleRevision(m hawthornrail.Member, revision uint64) {
	if revision <= r.controller.Snapshot().Revision() || !r.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.pulling.Store(false)
		r.clock.Sleep(pullDelay)
		if revision > r.controller.Snapshot().Revision() && r.pull(m.Address()) == nil {
			r.announce()
		}
	}()
}

func (r *Relay) pull(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var m vmpb.ConfigChanges
	if _, err := r.client.Invoke(ctx, address, followFrom(r.controller.Snapshot().Revision()), &m); err != nil {
		return fmt.Errorf("pull configuration: %w", err)
	}
	if !r.controller.Apply(fromWire(&m)) {
		return errSourceBehind
	}
	return nil
}

// announce notifies some members and this VM's source of the revision held
// here.
func (r *Relay) announce() {
	r.mu.Lock()
	receivers := []string{r.source}
	r.mu.Unlock()
	members := r.members.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members[:min(announceReceivers, len(members))] {
		receivers = append(receivers, m.Address())
	}
	open := &vmpb.Open{Kind: &vmpb.Open_ConfigNews{ConfigNews: &vmpb.ConfigNews{
		Revision: r.controller.Snapshot().Revision(),
	}}}
	for _, address := range receivers {
		if address != "" {
			go r.notify(address, open)
		}
	}
}
