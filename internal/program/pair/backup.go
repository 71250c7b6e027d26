package pair

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Backup decides for the backup of one holding.
type Backup struct {
	pairing    Pairing
	held       uint64
	active     bool
	right      Right
	returned   uint64
	heard      time.Time
	ticked     time.Time
	taking     bool
	superseded bool
}

// NewBackup returns a backup that holds the full copy of an offer, whose
// holder has not activated it yet.
func NewBackup(o Offer, now time.Time) *Backup {
	return &Backup{pairing: o.next, held: o.held, right: RightShared, heard: now, ticked: now}
}

// Pairing returns the pairing that the copy belongs to.
func (b *Backup) Pairing() Pairing { return b.pairing }

// Active reports whether the holder has put the pairing into force.
func (b *Backup) Active() bool { return b.active }

// Superseded reports whether another pairing is known to be in force.
func (b *Backup) Superseded() bool { return b.superseded }

// Returned returns the last grant that was given back.
func (b *Backup) Returned() uint64 { return b.returned }

// HasResigned reports whether the backup gave up its rights.
func (b *Backup) HasResigned() bool { return b.right == RightNone }

// Accept reports whether a step or heartbeat of an instance in an epoch may
// be acknowledged; the first one activates the pairing.
func (b *Backup) Accept(from hawthornrail.Instance, epoch uint64, now time.Time) bool {
	if b.taking || b.superseded || from != b.pairing.holder || epoch != b.pairing.epoch {
		return false
	}
	b.heard = now
	if b.right == RightNone {
		return false
	}
	b.active = true
	return true
}

// Granted takes the solo right, unless the grant was given back before.
func (b *Backup) Granted(grant uint64) {
	if grant > b.returned && !b.taking && b.right == RightShared {
		b.right = RightSolo
	}
}

// Return drops the solo right before it says so.
func (b *Backup) Return(grant uint64) {
	if b.taking || b.right == RightNone || grant <= b.returned {
		return
	}
	b.right = RightShared
	b.returned = grant
}

// Resign gives up all rights for good; it reports false once a takeover has
// begun.
func (b *Backup) Resign() bool {
	if b.taking {
		return false
	}
	b.right = RightNone
	return true
}

// Tick notes the time; a gap between ticks does not count as silence.
func (b *Backup) Tick(now time.Time) {
	if now.Sub(b.ticked) > maxTickGap {
		b.heard = now
	}
	b.ticked = now
}

// MayTakeOver returns how the backup may take over; dead says that the
// holder's instance has ended.
func (b *Backup) MayTakeOver(now time.Time, dead bool) Change {
	if b.superseded || b.right == RightNone {
		return ChangeNone
	}
	if !b.taking && !dead && now.Sub(b.heard) < TakeoverTimeout {
		return ChangeNone
	}
	if b.right == RightSolo {
		return ChangeAlone
	}
	return ChangeByPlatform
}

// Begin stops acknowledging for good and returns the pairing after the
// takeover; found is what the platform holds before an update by it.
func (b *Backup) Begin(found Pairing) (Pairing, bool) {
	b.Observe(found)
	if b.superseded || b.right == RightNone {
		return Pairing{}, false
	}
	if !b.active && found != b.pairing {
		return Pairing{}, false
	}
	b.taking = true
	return b.Taken(), true
}

// BeginAlone stops acknowledging for good and returns the pairing after a
// takeover without the platform.
func (b *Backup) BeginAlone() (Pairing, bool) {
	if b.right != RightSolo || !b.active || b.superseded {
		return Pairing{}, false
	}
	b.taking = true
	return b.Taken(), true
}

// HandOver accepts the holding from a holder that released it.
func (b *Backup) HandOver(from hawthornrail.Instance, epoch uint64) (Pairing, bool) {
	if from != b.pairing.holder || epoch != b.pairing.epoch || b.taking || b.superseded || b.right == RightNone {
		return Pairing{}, false
	}
	b.active, b.right = true, RightSolo
	return b.BeginAlone()
}

// Taken returns the pairing after the takeover.
func (b *Backup) Taken() Pairing {
	return NewPairing(b.pairing.backup, hawthornrail.Instance{}, b.pairing.epoch+1)
}

// Observe takes the pairing that the platform holds and reports whether it
// shows that the takeover took effect.
func (b *Backup) Observe(found Pairing) bool {
	if b.taking && found == b.Taken() {
		return true
	}
	if found.epoch > b.pairing.epoch {
		b.superseded = true
	}
	return false
}

// Heard returns when the holder was heard last.
func (b *Backup) Heard() time.Time { return b.heard }

// Solo reports whether the backup may take over without the platform.
func (b *Backup) Solo() bool { return b.right == RightSolo }
