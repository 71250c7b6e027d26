package pair

import (
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// BeatInterval is the time between two heartbeats of a holder.
	BeatInterval = 200 * time.Millisecond
	// ReplaceTimeout is the silence after which a holder replaces its backup.
	ReplaceTimeout = 800 * time.Millisecond
	// TakeoverTimeout is the silence after which a backup takes over.
	TakeoverTimeout = time.Second
	// DispatchTimeout is how long after an intent its request may be sent.
	DispatchTimeout = 800 * time.Millisecond

	// clockMargin allows for two VMs' clocks that run at different speeds.
	clockMargin = 50 * time.Millisecond

	// maxTickGap is the gap between two ticks that shows that the process
	// itself was stopped; silence is then counted anew.
	maxTickGap = 500 * time.Millisecond
)

// Pairing says which instances hold the two copies of a holding in an epoch.
type Pairing struct {
	holder hawthornrail.Instance
	backup hawthornrail.Instance
	epoch  uint64
}

// NewPairing returns a pairing; a zero backup means a single copy.
func NewPairing(holder, backup hawthornrail.Instance, epoch uint64) Pairing {
	return Pairing{holder: holder, backup: backup, epoch: epoch}
}

// Holder returns the instance that takes the steps.
func (p Pairing) Holder() hawthornrail.Instance { return p.holder }

// Backup returns the instance that acknowledges them, or a zero instance.
func (p Pairing) Backup() hawthornrail.Instance { return p.backup }

// Epoch returns the number of the pairing; it rises with each change.
func (p Pairing) Epoch() uint64 { return p.epoch }

// String returns the pairing for logs.
func (p Pairing) String() string {
	return fmt.Sprintf("epoch %d holder %s backup %s", p.epoch, p.holder, p.backup)
}

// Right says who may change a pairing.
type Right int

// The rights as one of the two parties holds them.
const (
	// RightShared means that either may, by a conditional update in the
	// platform.
	RightShared Right = iota + 1
	// RightSolo means that this party alone may, without the platform.
	RightSolo
	// RightNone means that this party may not.
	RightNone
)

// Change is how a party may change the pairing now.
type Change int

// The ways to change a pairing.
const (
	// ChangeNone means that the party must not change the pairing.
	ChangeNone Change = iota
	// ChangeByPlatform means that a conditional update decides.
	ChangeByPlatform
	// ChangeAlone means that the party decides without the platform.
	ChangeAlone
)
