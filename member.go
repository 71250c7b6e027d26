package hawthornrail

import "time"

// Member is what this VM knows of an instance of a VM.
type Member struct {
	instance Instance
	address  string
	leaving  bool
	heard    time.Time
}

// NewMember returns a member that other VMs reach at an IP address and port;
// heard is when it last answered this VM, or zero.
func NewMember(instance Instance, address string, leaving bool, heard time.Time) Member {
	return Member{instance: instance, address: address, leaving: leaving, heard: heard}
}

// Instance returns the member's instance; its incarnation is 0 while no
// instance of the VM has been heard of.
func (m Member) Instance() Instance { return m.instance }

// VM returns the name of the member's VM.
func (m Member) VM() string { return m.instance.VM() }

// DataCentre returns the member's data centre.
func (m Member) DataCentre() string { return m.instance.DataCentre() }

// Address returns the IP address and port for other VMs.
func (m Member) Address() string { return m.address }

// Leaving reports whether the member takes no new work.
func (m Member) Leaving() bool { return m.leaving }

// Heard returns when the member last answered this VM, or zero.
func (m Member) Heard() time.Time { return m.heard }
