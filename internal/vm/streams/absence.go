package streams

import (
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/ranking"
)

// firstAbsence and maxAbsence bound how long others take the place of a VM that did not reply.
// It doubles while the VM does not, so that VMs that were removed cost few requests.
const (
	firstAbsence = time.Second
	maxAbsence   = 2 * time.Minute
)

// absences are the VMs that do not reply, by their names. A VM that was removed for good
// stays in the list of VMs.
type absences struct {
	mu  sync.Mutex
	vms map[string]absence
}

type absence struct {
	until time.Time
	pause time.Duration
}

func newAbsences() *absences { return &absences{vms: make(map[string]absence)} }

// record records whether a VM has replied, or has sent a message itself.
func (a *absences) record(vm string, replied bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, known := a.vms[vm]
	switch {
	case replied:
		delete(a.vms, vm)
	case !known:
		a.vms[vm] = absence{until: now.Add(firstAbsence), pause: firstAbsence}
	case !now.Before(before.until):
		pause := min(2*before.pause, maxAbsence)
		a.vms[vm] = absence{until: now.Add(pause), pause: pause}
	}
}

// absentLast returns VMs in their order, but those that do not reply after all others.
func (a *absences) absentLast(vms []hawthornrail.VM, now time.Time) []hawthornrail.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	present, absent := ranking.Split(vms, func(v hawthornrail.VM) bool { return now.Before(a.vms[v.Name()].until) })
	return append(present, absent...)
}
