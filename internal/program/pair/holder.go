package pair

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Holder is the state machine of the holder of one holding.
type Holder struct {
	pairing          Pairing
	right            Right
	grant            uint64
	lastOfferedEpoch uint64
	attempt          Pairing
	lastAcknowledged time.Time
	lastSent         time.Time
	released         bool
	superseded       bool
}

// NewHolder returns the holder of a pairing without a backup, in which no
// other instance has any right.
func NewHolder(self hawthornrail.Instance, epoch uint64) *Holder {
	return &Holder{pairing: NewPairing(self, hawthornrail.Instance{}, epoch), right: RightSolo, lastOfferedEpoch: epoch}
}

// Pairing returns the pairing in force.
func (h *Holder) Pairing() Pairing { return h.pairing }

// Superseded reports whether another instance is known to have taken over the
// holding.
func (h *Holder) Superseded() bool { return h.superseded }

// Grant returns the number of the grant that the backup has or is to receive,
// or 0 while the holder keeps its right.
func (h *Holder) Grant() uint64 {
	if h.right != RightNone || h.released {
		return 0
	}
	return h.grant
}

// MayStep reports whether a step may be taken. Without a backup, it may be
// taken only if single says that no backup is available.
func (h *Holder) MayStep(single bool) bool {
	if h.superseded || h.released || h.attempting() {
		return false
	}
	return single || !h.pairing.backup.IsZero()
}

func (h *Holder) attempting() bool { return h.attempt.epoch != 0 }

// Acknowledged records that the backup accepted a heartbeat sent at a time.
func (h *Holder) Acknowledged(sent, now time.Time) {
	h.lastAcknowledged = now
	if sent.After(h.lastSent) {
		h.lastSent = sent
	}
}

// BackupEnded records that the backup's instance had ended before a time. If that
// was before its takeover timeout could have expired, no other instance has a
// right.
func (h *Holder) BackupEnded(before time.Time) {
	if h.canReclaimRight() && before.Before(h.lastSent.Add(TakeoverTimeout-clockMargin)) {
		h.right = RightSolo
	}
}

// NoLaterOffers records that the backup's instance has ended and that no other VM
// has been offered a copy of a later epoch since its process started; all these
// processes started before began. If all of them were running while the backup
// was alive, the backup took no step as a holder.
func (h *Holder) NoLaterOffers(began time.Time) {
	if h.canReclaimRight() && began.Before(h.lastSent) {
		h.right = RightSolo
	}
}

func (h *Holder) canReclaimRight() bool {
	return !h.attempting() && !h.released && !h.superseded && !h.pairing.backup.IsZero() && !h.lastSent.IsZero()
}

// Unresponsive reports whether the backup has been unresponsive for ReplaceTimeout.
func (h *Holder) Unresponsive(now time.Time) bool {
	return now.Sub(h.lastAcknowledged) >= ReplaceTimeout
}

// GiveUpRight gives up the holder's right so that the backup may be granted it. It
// does nothing while an update of unknown outcome is pending.
func (h *Holder) GiveUpRight() {
	if h.right != RightShared || h.attempting() || h.superseded || h.pairing.backup.IsZero() {
		return
	}
	h.right = RightNone
	h.grant++
}

// Returned records that the backup has returned a grant.
func (h *Holder) Returned(grant uint64) {
	if h.right == RightNone && !h.released && grant == h.grant {
		h.right = RightShared
	}
}

// Resigned records that the backup has given up all its rights permanently. It
// also revokes a release.
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
		return ChangeSolo
	case h.right == RightShared:
		return ChangeByPlatform
	default:
		return ChangeNone
	}
}

// Next returns the pairing with another backup for which a copy is offered.
// Each has an epoch of its own, to distinguish a delayed offer from a new one.
func (h *Holder) Next(backup hawthornrail.Instance) Pairing {
	h.lastOfferedEpoch++
	return NewPairing(h.pairing.holder, backup, h.lastOfferedEpoch)
}

// BeginChange starts the change to next by an update in the platform. No step may
// be taken until its outcome is known.
func (h *Holder) BeginChange(next Pairing) { h.attempt = next }

// Attempting returns the change whose outcome is unknown.
func (h *Holder) Attempting() (Pairing, bool) { return h.attempt, h.attempting() }

// Lost ends an attempt whose update is proven never to take effect.
func (h *Holder) Lost() { h.attempt = Pairing{} }

// Adopt puts the pairing that was decided on into force.
func (h *Holder) Adopt(next Pairing, now time.Time) {
	h.pairing, h.attempt, h.lastOfferedEpoch = next, Pairing{}, max(h.lastOfferedEpoch, next.epoch)
	h.right, h.grant, h.lastAcknowledged, h.lastSent = RightShared, 0, now, time.Time{}
}

// Observe processes the pairing stored in the platform and reports whether it
// decides the attempt.
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

// Release gives up the holding permanently, so that the backup may become its
// holder without waiting for a timeout. It reports whether the holding was
// released.
func (h *Holder) Release() bool {
	if h.attempting() || h.superseded || h.pairing.backup.IsZero() || h.right == RightSolo {
		return false
	}
	h.right, h.released = RightNone, true
	return true
}

// Released reports whether the holding was released to the backup.
func (h *Holder) Released() bool { return h.released }
