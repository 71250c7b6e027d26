package pair

import (
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a holder.
	HeartbeatInterval = 200 * time.Millisecond
	// ReplaceTimeout is how long a backup may be unresponsive before its holder
	// replaces it.
	ReplaceTimeout = 800 * time.Millisecond
	// TakeoverTimeout is how long a holder may be unresponsive before its backup
	// takes over.
	TakeoverTimeout = time.Second
	// DispatchTimeout is how long after its intent a request may be sent.
	DispatchTimeout = 800 * time.Millisecond

	// clockMargin allows for clock drift between two VMs.
	clockMargin = 50 * time.Millisecond

	// maxTickGap is the longest gap between two ticks of a running process. After
	// a longer one, the process was itself stopped, and the timeout restarts.
	maxTickGap = 500 * time.Millisecond
)

// Pairing is the pair of instances with the two copies of a holding in an epoch.
type Pairing struct {
	holder hawthornrail.Instance
	backup hawthornrail.Instance
	epoch  uint64
}

// NewPairing returns a pairing; with a zero backup there is a single copy.
func NewPairing(holder, backup hawthornrail.Instance, epoch uint64) Pairing {
	return Pairing{holder: holder, backup: backup, epoch: epoch}
}

// Holder returns the instance that takes the steps.
func (p Pairing) Holder() hawthornrail.Instance { return p.holder }

// Backup returns the instance that acknowledges them, or a zero instance.
func (p Pairing) Backup() hawthornrail.Instance { return p.backup }

// Epoch returns the number of the pairing, which increases with each change.
func (p Pairing) Epoch() uint64 { return p.epoch }

// String returns the pairing for logs.
func (p Pairing) String() string {
	return fmt.Sprintf("epoch %d holder %s backup %s", p.epoch, p.holder, p.backup)
}

// Right is the right of one party to change a pairing.
type Right int

// The rights of a party.
const (
	// RightShared means that either party may change the pairing, by a
	// conditional update in the platform.
	RightShared Right = iota + 1
	// RightSolo means that only this party may change the pairing, without the
	// platform.
	RightSolo
	// RightNone means that this party must not change the pairing.
	RightNone
)

// Change is the way in which a party may change the pairing.
type Change int

// The ways to change a pairing.
const (
	// ChangeNone means that the party must not change the pairing.
	ChangeNone Change = iota
	// ChangeByPlatform means that a conditional update decides.
	ChangeByPlatform
	// ChangeSolo means that the party decides without the platform.
	ChangeSolo
)
