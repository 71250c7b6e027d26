package testbed

import (
	"time"

	"hawthornrail.example/hawthornrail/internal/operator/api"
)

// stableTime is longer than a backup waits before it takes over.
const stableTime = 2 * time.Second

// Running returns the number of model calls that the engines are running.
func (b *Bed) Running() int {
	n := 0
	for _, e := range b.Engines {
		n += e.Load().Running
	}
	return n
}

// Begun returns the number of requests that the services have received.
func (b *Bed) Begun() int {
	n := 0
	for _, s := range b.Services {
		n += s.ArrivalCount()
	}
	return n
}

// WaitGranted waits until every backup of the holdings on the given VMs has the
// right to take over without the platform.
func (b *Bed) WaitGranted(vms ...*VM) {
	b.t.Helper()
	b.Eventually(readyTimeout, "backups may take over alone", func() bool {
		backups, granted := 0, 0
		for _, v := range vms {
			s, err := v.Status()
			if err != nil {
				return false
			}
			backups += countBackups(s)
			granted += s.SoloReplicas
		}
		return backups > 0 && granted == backups
	})
}

func countBackups(s api.Status) int {
	n := 0
	for _, h := range s.Holdings {
		if h.Backup != "" {
			n++
		}
	}
	return n
}

// Holder returns the VM that has a holding, or nil.
func (b *Bed) Holder(holding string) *VM {
	for _, v := range b.VMs {
		s, err := v.Status()
		if err != nil {
			continue
		}
		for _, h := range s.Holdings {
			if h.Holding == holding {
				return v
			}
		}
	}
	return nil
}

// WaitPaired waits until every holding of the given VMs has had a backup for
// stableTime, so that no takeover is pending.
func (b *Bed) WaitPaired(vms ...*VM) {
	b.t.Helper()
	pairedSince := time.Now()
	b.Eventually(readyTimeout, "holdings have backups", func() bool {
		for _, v := range vms {
			s, err := v.Status()
			if err != nil || countBackups(s) != len(s.Holdings) {
				pairedSince = time.Now()
			}
		}
		return time.Since(pairedSince) > stableTime
	})
}
