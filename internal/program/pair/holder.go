package pair

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Holder decides for the holder of one holding.
type Holder struct {
	pairing    Pairing
	right      Right
	grant      uint64
	offered    uint64
	attempt    Pairing
	acked      time.Time
	sent       time.Time
	released   bool
	superseded bool
}

// NewHolder returns the holder of a pairing without a backup, in which no
// other instance has any right.
func NewHolder(self hawthornrail.Instance, epoch uint64) *Holder {
	return &Holder{pairing: NewPairing(self, hawthornrail.Instance{}, epoch), right: RightSolo, offered: epoch}
}

// Pairing returns the pairing in force.
func (h *Holder) Pairing() Pairing { return h.pairing }

// Superseded reports whether another instance is known to have taken over.
func (h *Holder) Superseded() bool { return h.superseded }

// Grant returns the number of the grant that the backup holds or shall hold,
// or 0 when the holder keeps its own right.
func (h *Holder) Grant() uint64 {
	if h.right != RightNone || h.released {
		return 0
	}
	return h.grant
}

// MayStep reports whether a step may be sent to the backup; without a backup
// only where none can be had.
func (h *Holder) MayStep(single bool) bool {
	if h.superseded || h.released || h.attempting() {
		return false
	}
	return single || !h.pairing.backup.IsZero()
}

func (h *Holder) attempting() bool { return h.attempt.epoch != 0 }

// Acknowledged records that the backup accepted a heartbeat sent at a time.
func (h *Holder) Acknowledged(sent, now time.Time) {
	h.acked = now
	if sent.After(h.sent) {
		h.sent = sent
	}
}

// Ended records that the backup's instance had ended before a time. If that
// is too early for it to have taken over, no other instance has a right.
func (h *Holder) Ended(before time.Time) {
	if h.provable() && before.Before(h.sent.Add(TakeoverTimeout-clockMargin)) {
		h.right = RightSolo
	}
}

// Unclaimed records that the backup's instance has ended, and that every other
// VM, each in a run that began before a time, was never offered a later copy.
// If all ran when the backup was alive, it took no step as a holder.
func (h *Holder) Unclaimed(began time.Time) {
	if h.provable() && began.Before(h.sent) {
		h.right = RightSolo
	}
}

func (h *Holder) provable() bool {
	return !h.attempting() && !h.released && !h.superseded && !h.pairing.backup.IsZero() && !h.sent.IsZero()
}

// Silent reports whether the backup has not answered for too long.
func (h *Holder) Silent(now time.Time) bool { return now.Sub(h.acked) >= ReplaceTimeout }

// GiveUp gives up the holder's right so that the backup may be granted it; an
// update of unknown outcome keeps the right where it is.
func (h *Holder) GiveUp() {
	if h.right != RightShared || h.attempting() || h.superseded || h.pairing.backup.IsZero() {
		return
	}
	h.right = RightNone
	h.grant++
}

// Returned records that the backup gave a grant back.
func (h *Holder) Returned(grant uint64) {
	if h.right == RightNone && !h.released && grant == h.grant {
		h.right = RightShared
	}
}

// Resigned records that the backup gave up all its rights for good, which
// also takes back a release.
func (h *Holder) Resigned() {
	if !h.attempting() {
		h.right, h.released = RightSolo, false
	}
}

// MayReplace returns how the backup may be replaced.
func (h *Holder) MayReplace() Change {
	switch {
	case h.superseded || h.released:
		return ChangeNone
	case h.right == RightSolo:
		return ChangeAlone
	case h.right == RightShared:
		return ChangeByPlatform
	default:
		return ChangeNone
	}
}

// Next returns the pairing with another backup, to prepare a copy for; each
// has an epoch of its own, so that a late offer is told from a new one.
func (h *Holder) Next(backup hawthornrail.Instance) Pairing {
	h.offered++
	return NewPairing(h.pairing.holder, backup, h.offered)
}

// Attempt begins the change to next by the platform; no step is taken until
// its outcome is known.
func (h *Holder) Attempt(next Pairing) { h.attempt = next }

// Attempting returns the change whose outcome is unknown.
func (h *Holder) Attempting() (Pairing, bool) { return h.attempt, h.attempting() }

// Lost ends an attempt whose update provably never takes effect.
func (h *Holder) Lost() { h.attempt = Pairing{} }

// Adopt puts a decided pairing into force.
func (h *Holder) Adopt(next Pairing, now time.Time) {
	h.pairing, h.attempt, h.offered = next, Pairing{}, max(h.offered, next.epoch)
	h.right, h.grant, h.acked, h.sent = RightShared, 0, now, time.Time{}
}

// Observe takes the pairing that the platform holds and reports whether it
// decided the attempt.
func (h *Holder) Observe(found Pairing, now time.Time) bool {
	if h.attempting() && found == h.attempt {
		h.Adopt(found, now)
		return true
	}
	if found.epoch > h.pairing.epoch {
		h.superseded = true
		return h.attempting()
	}
	return false
}

// Supersede records that another instance is the holder of a later epoch.
func (h *Holder) Supersede(epoch uint64) {
	if epoch > h.pairing.epoch {
		h.superseded = true
	}
}

// Release gives up the holding for good so that the backup may become its
// holder at once; it reports whether it may.
func (h *Holder) Release() bool {
	if h.attempting() || h.superseded || h.pairing.backup.IsZero() || h.right == RightSolo {
		return false
	}
	h.right, h.released = RightNone, true
	return true
}

// Released reports whether the holding was given up for the backup.
func (h *Holder) Released() bool { return h.released }
