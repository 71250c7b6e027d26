package mirror

import (
	"sync"
	"time"
)

const (
	// settlingPeriod is how long after an outage of the store an object that
	// lapsed during the outage may be registered again.
	settlingPeriod = 2 * time.Second
	// contactTimeout is how long after a response the store counts as
	// reachable.
	contactTimeout = time.Second
	// maxConfirmationShare is the fraction of the time until a change has to be in
	// force after which a confirmation of the store is too old to rely on the
	// sources. It exceeds the time between two confirmations of a watching VM, and
	// leaves time to ask the store.
	maxConfirmationShare = 0.7
)

// StoreStatus is a VM's view of the store. Between two responses the store may
// count neither as reachable nor as lost.
type StoreStatus struct {
	inContact bool
	lost      bool
	settling  time.Duration
	// watching is set if the VM watches the store itself.
	watching bool
	// confirmed is when the store last confirmed that the VM is up to date.
	confirmed time.Time
	// applied is set if this VM then holds all that the VM holds. It does not if
	// changes are missing before those of the reply.
	applied bool
}

// NewStoreStatus returns a status: whether the store has responded recently,
// whether it is unresponsive, and how much longer missing objects may be
// registered again.
func NewStoreStatus(inContact, lost bool, settling time.Duration) StoreStatus {
	return StoreStatus{inContact: inContact, lost: lost, settling: settling}
}

// InContact reports whether the store responds for all kinds and has responded
// recently.
func (s StoreStatus) InContact() bool { return s.inContact }

// Lost reports whether the store does not respond for some kind.
func (s StoreStatus) Lost() bool { return s.lost }

// Settling returns how much longer missing objects may be registered again.
func (s StoreStatus) Settling() time.Duration { return s.settling }

// StoreHealth distinguishes an outage of the store from a network partition between
// this VM and the store.
type StoreHealth struct {
	dataCentre string
	// maxConfirmationAge is the age from which a confirmation is too old.
	maxConfirmationAge time.Duration

	mu        sync.Mutex
	responded time.Time
	// configConfirmed is when the store last confirmed that the configuration of this
	// VM is up to date, and bounded holds the further kinds whose changes have to be in
	// force within a time.
	configConfirmed time.Time
	bounded         map[string]boundedKind
	// confirmed is when the store last confirmed that this VM is up to date, and
	// relayed is the same for the VMs that this VM follows.
	confirmed time.Time
	relayed   time.Time
	// heard is the same for any VM that this VM has asked.
	heard time.Time
	// nextConfirmation is closed at the next confirmation by the store.
	nextConfirmation chan struct{}
	lost             map[string]bool
	// reachableElsewhere is set if another VM reached the store during the
	// loss, and unreachableElsewhere if the store is known not to respond to
	// others either.
	reachableElsewhere   bool
	unreachableElsewhere bool
	settledAt            time.Time
}

// NewStoreHealth returns the store health of a VM of a data centre that has not
// called the store yet. Changes have to be in force after the time inForce.
func NewStoreHealth(dataCentre string, inForce time.Duration) *StoreHealth {
	return &StoreHealth{
		dataCentre: dataCentre, maxConfirmationAge: time.Duration(maxConfirmationShare * float64(inForce)),
		nextConfirmation: make(chan struct{}), lost: make(map[string]bool),
	}
}

// Responded records that the store responded for a kind, and reports whether it
// was lost before.
func (h *StoreHealth) Responded(kind string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responded = now
	regained := h.lost[kind]
	if regained && h.unreachableElsewhere && !h.reachableElsewhere {
		h.settledAt = now.Add(settlingPeriod)
	}
	delete(h.lost, kind)
	return regained
}

// Confirmed records that the store confirmed that this VM has the configuration of a
// time.
func (h *StoreHealth) Confirmed(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configConfirmed = now
	h.updateConfirmationLocked()
}

// updateConfirmationLocked recomputes when this VM was last up to date; h.mu must be
// held.
func (h *StoreHealth) updateConfirmationLocked() {
	h.confirmed = h.configConfirmed
	for _, k := range h.bounded {
		if at := k.confirmed.Add(k.extra); at.Before(h.confirmed) {
			h.confirmed = at
		}
	}
	close(h.nextConfirmation)
	h.nextConfirmation = make(chan struct{})
}

// LastConfirmation returns when the store last confirmed that this VM is up to
// date, and a channel that is closed when it does so again.
func (h *StoreHealth) LastConfirmation() (time.Time, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed, h.nextConfirmation
}

// Relayed records when the store confirmed that a followed VM is up to date, all
// of whose objects this VM holds.
func (h *StoreHealth) Relayed(confirmed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.relayed = later(h.relayed, confirmed)
}

// Heard records when the store confirmed that some VM is up to date, all of whose
// objects this VM holds.
func (h *StoreHealth) Heard(confirmed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = later(h.heard, confirmed)
}

// SourcesExpireIn returns how much longer this VM may rely on the VMs that it
// follows. It is 0 if none of them has been up to date recently.
func (h *StoreHealth) SourcesExpireIn(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.expiresIn(h.relayed, now)
}

// Outdated reports whether this VM may have missed changes: neither the store nor
// a followed VM has confirmed recently that it is up to date.
func (h *StoreHealth) Outdated(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.expiresIn(later(h.confirmed, h.relayed), now) == 0
}

// UpToDate reports whether the VM with a status can be relied on as a source.
func (h *StoreHealth) UpToDate(s StoreStatus, now time.Time) bool {
	return s.watching && !s.lost && h.expiresIn(s.confirmed, now) > 0
}

// expiresIn returns how much longer a confirmation is recent.
func (h *StoreHealth) expiresIn(confirmed, now time.Time) time.Duration {
	return max(0, h.maxConfirmationAge-now.Sub(confirmed))
}

// Failed records that the store did not respond for a kind, and reports whether
// it was not lost before.
func (h *StoreHealth) Failed(kind string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.lost) == 0 {
		h.reachableElsewhere, h.unreachableElsewhere = false, false
	}
	failed := !h.lost[kind]
	h.lost[kind] = true
	return failed
}

// PeerReported takes the status that a VM of a data centre reports. A loss
// reported from this VM's own data centre is no evidence of an outage, since
// the whole data centre may be partitioned from the store.
func (h *StoreHealth) PeerReported(dataCentre string, s StoreStatus, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.settling > 0 && dataCentre != h.dataCentre {
		h.settledAt = later(h.settledAt, now.Add(min(s.settling, settlingPeriod)))
		return
	}
	h.reachableElsewhere = h.reachableElsewhere || s.inContact
	h.unreachableElsewhere = h.unreachableElsewhere || s.lost && dataCentre != h.dataCentre
}

// SourceReported takes the status that a followed VM reports. Its settling
// period applies to this VM as well.
func (h *StoreHealth) SourceReported(_ string, s StoreStatus, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settledAt = later(h.settledAt, now.Add(min(s.settling, settlingPeriod)))
}

// StopTracking records that the store is no longer called for a kind.
func (h *StoreHealth) StopTracking(kind string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.lost, kind)
}

// NoPeers records that there is no other VM whose status could distinguish an
// outage of the store from a partition, so that a loss counts as an outage.
func (h *StoreHealth) NoPeers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachableElsewhere = true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Status returns the status to report to other VMs.
func (h *StoreHealth) Status(now time.Time) StoreStatus {
	settling := h.Settling(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	lost := len(h.lost) > 0
	return NewStoreStatus(!lost && now.Sub(h.responded) <= contactTimeout, lost, settling)
}

// Settling returns how much longer missing objects may be registered again.
func (h *StoreHealth) Settling(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.settledAt.Sub(now))
}

// LastConfirmed returns when this VM was last known to be up to date, whoever
// confirmed it.
func (h *StoreHealth) LastConfirmed() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return later(h.heard, later(h.confirmed, h.relayed))
}

// Current reports whether this VM was up to date so recently that it can't have
// missed a change that has to be in force.
func (h *StoreHealth) Current(now time.Time) bool {
	return h.expiresIn(h.LastConfirmed(), now) > 0
}
