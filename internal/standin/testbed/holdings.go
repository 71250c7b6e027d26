package testbed

import "hawthornrail.example/hawthornrail/internal/operator/api"

// Running returns how many model calls run at the engines.
func (b *Bed) Running() int {
	n := 0
	for _, e := range b.Engines {
		n += e.Load().Running
	}
	return n
}

// Begun returns how many requests have arrived at the services.
func (b *Bed) Begun() int {
	n := 0
	for _, s := range b.Services {
		n += s.Begun()
	}
	return n
}

// WaitGranted waits until every backup among some VMs may take over without
// the platform.
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

// Holder returns the VM that holds a holding, or nil.
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
