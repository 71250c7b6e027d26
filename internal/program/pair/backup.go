package pair

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Backup is the state machine of the backup of one holding.
type Backup struct {
	pairing       Pairing
	holderEpoch   uint64
	active        bool
	right         Right
	returnedGrant uint64
	lastContact   time.Time
	lastTick      time.Time
	takingOver    bool
	superseded    bool
}

// NewBackup returns a backup that has received the full copy of an offer and
// that the holder has not activated yet.
func NewBackup(o Offer, now time.Time) *Backup {
	return &Backup{pairing: o.next, holderEpoch: o.epoch, right: RightShared, lastContact: now, lastTick: now}
}

// Pairing returns the pairing that the copy belongs to.
func (b *Backup) Pairing() Pairing { return b.pairing }

// Active reports whether the holder has activated the pairing.
func (b *Backup) Active() bool { return b.active }

// Superseded reports whether a later pairing is known to be in force.
func (b *Backup) Superseded() bool { return b.superseded }

// Returned returns the number of the last grant that was returned.
func (b *Backup) Returned() uint64 { return b.returnedGrant }

// HasResigned reports whether the backup has given up its rights.
func (b *Backup) HasResigned() bool { return b.right == RightNone }

// Accept reports whether a step or heartbeat that an instance sent in an epoch
// may be acknowledged. The first accepted one activates the pairing.
func (b *Backup) Accept(from hawthornrail.Instance, epoch uint64, now time.Time) bool {
	if b.takingOver || b.superseded || from != b.pairing.holder || epoch != b.pairing.epoch {
		return false
	}
	b.lastContact = now
	if b.right == RightNone {
		return false
	}
	b.active = true
	return true
}

// AcceptGrant accepts the solo right, unless the grant was returned before.
func (b *Backup) AcceptGrant(grant uint64) {
	if grant > b.returnedGrant && !b.takingOver && b.right == RightShared {
		b.right = RightSolo
	}
}

// ReturnGrant gives up the solo right of a grant. The caller may report the
// return to the holder only afterwards.
func (b *Backup) ReturnGrant(grant uint64) {
	if b.takingOver || b.right == RightNone || grant <= b.returnedGrant {
		return
	}
	b.right = RightShared
	b.returnedGrant = grant
}

// Resign gives up all rights permanently. It returns false if a takeover has
// begun.
func (b *Backup) Resign() bool {
	if b.takingOver {
		return false
	}
	b.right = RightNone
	return true
}

// Tick records the time. A long gap between ticks means that this process was
// stopped, and restarts the timeout of the holder.
func (b *Backup) Tick(now time.Time) {
	if now.Sub(b.lastTick) > maxTickGap {
		b.lastContact = now
	}
	b.lastTick = now
}

// MayTakeOver returns how the backup may take over now; dead means that the
// holder's instance is known to have ended.
func (b *Backup) MayTakeOver(now time.Time, dead bool) Change {
	if b.superseded || b.right == RightNone {
		return ChangeNone
	}
	if !b.takingOver && !dead && now.Sub(b.lastContact) < TakeoverTimeout {
		return ChangeNone
	}
	if b.right == RightSolo {
		return ChangeSolo
	}
	return ChangeByPlatform
}

// Begin stops acknowledgements permanently and returns the pairing that a
// conditional update in the platform is to store in place of found.
func (b *Backup) Begin(found Pairing) (Pairing, bool) {
	b.Observe(found)
	if b.superseded || b.right == RightNone {
		return Pairing{}, false
	}
	if !b.active && found != b.pairing {
		return Pairing{}, false
	}
	b.takingOver = true
	return b.PairingAfterTakeover(), true
}

// BeginSolo stops acknowledgements permanently and returns the pairing after a
// takeover without the platform.
func (b *Backup) BeginSolo() (Pairing, bool) {
	if b.right != RightSolo || !b.active || b.superseded {
		return Pairing{}, false
	}
	b.takingOver = true
	return b.PairingAfterTakeover(), true
}

// AcceptHandoff accepts the hand-off of the holding from a holder that released
// it.
func (b *Backup) AcceptHandoff(from hawthornrail.Instance, epoch uint64) (Pairing, bool) {
	if from != b.pairing.holder || epoch != b.pairing.epoch || b.takingOver || b.superseded || b.right == RightNone {
		return Pairing{}, false
	}
	b.active, b.right = true, RightSolo
	return b.BeginSolo()
}

// PairingAfterTakeover returns the pairing after the takeover.
func (b *Backup) PairingAfterTakeover() Pairing {
	return NewPairing(b.pairing.backup, hawthornrail.Instance{}, b.pairing.epoch+1)
}

// Observe processes the pairing stored in the platform and reports whether it
// shows that the takeover took effect.
func (b *Backup) Observe(found Pairing) bool {
	if b.takingOver && found == b.PairingAfterTakeover() {
		return true
	}
	if found.epoch > b.pairing.epoch {
		b.superseded = true
	}
	return false
}

// LastContact returns when the last message of the holder was received.
func (b *Backup) LastContact() time.Time { return b.lastContact }

// Solo reports whether the backup may take over without the platform.
func (b *Backup) Solo() bool { return b.right == RightSolo }
