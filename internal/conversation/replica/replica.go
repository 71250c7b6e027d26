package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/conversation/store"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/policy/placement"
	"hawthornrail.example/hawthornrail/internal/vm/detector"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
)

const (
	// repairInterval is the pause between two rounds of repair that find nothing to do.
	repairInterval = time.Second
	// minRepairPause is the pause if a chain is asked for that lacks an ancestor.
	minRepairPause = 100 * time.Millisecond
	// expireInterval is the interval at which expired turns are removed.
	expireInterval = 5 * time.Second
	// suspectDelay is how long a VM does not respond until others take its place in repair.
	// It is longer than a restart takes.
	suspectDelay = 3 * time.Second
	// listSettleTime is how long the list of VMs has to be the same until a turn is said not
	// to exist. It exceeds the time in which a change reaches all VMs.
	listSettleTime = 10 * time.Second
	// maxPullAge is how long ago the log of another VM may have been read at most. It exceeds
	// a round with VMs that do not respond and a slow disk.
	maxPullAge = 10 * time.Second
)

// Dependencies are the settings and dependencies of a Replica.
type Dependencies struct {
	// Address is where other VMs reach this one.
	Address string
	// ToleratedLosses is the number of disks that may be lost at once.
	ToleratedLosses int
	// CatchUp is the time in which a VM that lost its disk should have its copies again.
	CatchUp time.Duration
	// LinkBytesPerSecond is what the VM's link carries.
	LinkBytesPerSecond int64
	Store              *store.Store
	// Keeper has the turns that too few disks could store.
	Keeper  hawthornrail.TurnKeeper
	Config  hawthornrail.Configuration
	Invoker peer.Invoker
	Clock   hawthornrail.Clock
	Log     events.Logger
}

// Replica serves the turns of a VM with a disk and repairs its copies.
type Replica struct {
	deps     Dependencies
	detector *detector.Detector
	limits   *limits
	// wanted has an element if a chain was asked for that lacks an ancestor.
	wanted chan struct{}
	// refusing is set while turns can't be stored.
	refusing atomic.Bool
	repaired atomic.Int64
	room     *room
	// kept counts the turns that the platform's store kept when it was last asked.
	kept atomic.Int64

	mu   sync.Mutex
	view *view
	// listedAt is when the list of VMs last changed.
	listedAt  time.Time
	suspected map[string]time.Time
	peers     map[string]*progress
	certain   bool
	pace      *pace
	// whole is set once this VM's disk has held all turns that it should, and doubtUntil is
	// until when turns may be kept that no VM holds, as far as this one knows by itself.
	whole      bool
	doubtUntil time.Time
	// disks are those of other VMs that this one has seen, by their addresses, also before its
	// process started; disksChanged is set if they are to be recorded.
	disks        map[string]uint64
	disksChanged bool
}

// New returns a replica that has not read the logs of other VMs.
func New(deps Dependencies) *Replica {
	r := &Replica{
		deps: deps, detector: detector.New(),
		room:   &room{store: deps.Store, clock: deps.Clock},
		pace:   newPace(deps.CatchUp, deps.LinkBytesPerSecond),
		limits: newLimits(), wanted: make(chan struct{}, 1),
		view: newView(nil, placement.Copies(deps.ToleratedLosses), nil), listedAt: deps.Clock.Now(),
		suspected: make(map[string]time.Time), peers: make(map[string]*progress), whole: deps.Store.Whole(),
	}
	r.loadDisks()
	return r
}

// Run repairs the copies and removes expired turns until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.expireLoop(ctx) })
	running.Go(func() { r.deliverLoop(ctx) })
	for ctx.Err() == nil {
		if more := r.Repair(ctx); !more {
			r.pause(ctx)
		}
	}
}

// pause waits until the next round is due.
func (r *Replica) pause(ctx context.Context) {
	due := r.deps.Clock.After(repairInterval)
	if !clock.Wait(ctx, r.deps.Clock, minRepairPause) {
		return
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-r.wanted:
	}
}

func (r *Replica) expireLoop(ctx context.Context) {
	for clock.Wait(ctx, r.deps.Clock, expireInterval) {
		if err := r.deps.Store.Expire(); err != nil {
			r.deps.Log.Event(events.SegmentNotRemoved).Err(err).Emit()
		}
	}
}

// refresh brings the view up to date and returns it.
func (r *Replica) refresh() *view {
	now := r.deps.Clock.Now()
	vms := r.deps.Config.Snapshot().DiskVMs()
	r.mu.Lock()
	defer r.mu.Unlock()
	suspected := make(map[string]time.Time)
	for _, vm := range vms {
		if vm.Address() == r.deps.Address || !r.detector.Suspected(vm.Address()) {
			continue
		}
		suspected[vm.Address()] = now
		if since, known := r.suspected[vm.Address()]; known {
			suspected[vm.Address()] = since
		}
	}
	r.suspected = suspected
	stable := stableSuspects(suspected, now)
	sameVMs := slices.Equal(vms, r.view.vms)
	if sameVMs && maps.Equal(stable, r.view.suspects) {
		return r.view
	}
	r.view = newView(vms, placement.Copies(r.deps.ToleratedLosses), stable)
	if !sameVMs {
		r.listedAt = now
		r.forgetUnlisted(r.view)
	}
	return r.view
}

// forgetUnlisted drops what is known of VMs that are no longer listed; r.mu must be held.
func (r *Replica) forgetUnlisted(v *view) {
	for address := range r.peers {
		if !v.lists(address) {
			delete(r.peers, address)
			r.detector.Forget(address)
		}
	}
}

// isCertain reports whether this VM holds each turn that it should.
func (r *Replica) isCertain() bool {
	v := r.refresh()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.deps.Clock.Now()
	e := evidenceOf(v, r.deps.Address, r.peers, r.detector.Suspected, r.listedAt, now)
	e.doubt = max(e.doubt, r.doubtUntil.Sub(now))
	if certain := e.certain(); certain != r.certain {
		r.certain = certain
		event := events.TurnsUncertain
		if certain {
			event = events.TurnsCertain
		}
		r.deps.Log.Event(event).Int("vms", e.vms).Bool("listed", e.listed).Int("not_read", e.unpulled).
			Int("unresponsive", e.suspected).Millis("list_age_ms", e.listAge).Millis("doubt_ms", max(0, e.doubt)).Emit()
	}
	if r.certain && !r.whole {
		r.markWhole()
	}
	return r.certain
}

// Stats is the state of a replica's repair.
type Stats struct {
	missing, vms   int
	oldest, left   time.Duration
	repaired, kept int64
}

// Missing returns the number of turns that are known to be missing here.
func (s Stats) Missing() int { return s.missing }

// Backlog returns the number of VMs whose log was not read to its end.
func (s Stats) Backlog() int { return s.vms }

// Oldest returns for how long a turn has been known to be missing.
func (s Stats) Oldest() time.Duration { return s.oldest }

// Repaired returns the number of turns that repair has fetched.
func (s Stats) Repaired() int64 { return s.repaired }

// Left returns how long it takes to fetch what is known to be missing. While it is 0 and the
// backlog too, a further loss is borne.
func (s Stats) Left() time.Duration { return s.left }

// Kept returns the number of turns that the platform's store keeps.
func (s Stats) Kept() int64 { return s.kept }

// Stats returns the state of the repair.
func (r *Replica) Stats() Stats {
	s := Stats{missing: len(r.deps.Store.Awaited(maxAwaited)), repaired: r.repaired.Load(), kept: r.kept.Load()}
	now := r.deps.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s.left = r.repairLeftLocked()
	for _, vm := range r.view.others(r.deps.Address) {
		p := r.peers[vm.Address()]
		if p == nil {
			s.vms++
			continue
		}
		if !p.isComplete(now) {
			s.vms++
		}
		s.missing += len(p.missing)
		if len(p.missing) > 0 {
			s.oldest = max(s.oldest, now.Sub(p.missingSince))
		}
	}
	return s
}
