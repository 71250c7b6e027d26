package hawthornrail

import "time"

// Member is this VM's membership entry for an instance of another VM.
type Member struct {
	instance  Instance
	address   string
	draining  bool
	lastReply time.Time
}

// NewMember returns a member with the IP address and port that other VMs connect
// to; lastReply is when it last replied to this VM, or the zero time.
func NewMember(instance Instance, address string, draining bool, lastReply time.Time) Member {
	return Member{instance: instance, address: address, draining: draining, lastReply: lastReply}
}

// Instance returns the member's instance; its incarnation is 0 until an
// instance of the VM has been discovered.
func (m Member) Instance() Instance { return m.instance }

// VM returns the name of the member's VM.
func (m Member) VM() string { return m.instance.VM() }

// DataCentre returns the member's data centre.
func (m Member) DataCentre() string { return m.instance.DataCentre() }

// Address returns the IP address and port for other VMs.
func (m Member) Address() string { return m.address }

// Draining reports whether the member is draining and accepts no new work.
func (m Member) Draining() bool { return m.draining }

// LastReply returns when the member last responded to this VM, or the zero time.
func (m Member) LastReply() time.Time { return m.lastReply }
