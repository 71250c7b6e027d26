package serve_test

import (
	"net/http"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

const releaseTimeout = 20 * time.Second

// Engines release the memory of every program that has ended, also if
// confirmations are lost or the engines are partitioned.
func TestEngineMemoryIsReleased(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 2, Services: 1})
	short := testbed.DefaultDeployment()
	short.Budget = objects.Budget{Calls: 2, Tokens: 1_000_000, WallTimeMS: 3000}
	bed.Apply("short", short)
	shortKey := bed.IssueKey("short")
	for _, vm := range bed.VMs {
		vm.WaitReady()
	}
	start := func(key string) string {
		program := bed.VMs[0].CreateProgram(key)
		assertOK(t, testbed.Retry(func() testbed.Reply { return bed.VMs[0].Ask(key, program, 1, "hello") }))
		return program
	}
	end := func(program string) {
		assertOK(t, bed.VMs[0].Call(bed.Key, http.MethodDelete, "/v1/programs/"+program, nil, nil))
	}
	live := start(bed.Key)

	t.Run("ended while confirmations are lost", func(*testing.T) {
		setFaults(bed, engine.Faults{LoseReleases: true})
		end(start(bed.Key))
		bed.Eventually(releaseTimeout, "released", func() bool { return onlyHeld(bed, live) })
		setFaults(bed, engine.Faults{})
	})
	t.Run("ended while engines are partitioned", func(*testing.T) {
		program := start(bed.Key)
		setFaults(bed, engine.Faults{Cut: true})
		end(program)
		time.Sleep(2 * time.Second)
		setFaults(bed, engine.Faults{})
		bed.Eventually(releaseTimeout, "released", func() bool { return onlyHeld(bed, live) })
	})
	t.Run("wall time", func(*testing.T) {
		start(shortKey)
		bed.Eventually(releaseTimeout, "released", func() bool { return onlyHeld(bed, live) })
	})
	t.Run("budget", func(t *testing.T) {
		program := start(shortKey)
		assertOK(t, bed.VMs[0].Ask(shortKey, program, 2, "hello"))
		assertRefused(t, bed.VMs[0].Ask(shortKey, program, 3, "hello"), 402, "budget_exhausted", "not_run")
		bed.Eventually(releaseTimeout, "released", func() bool { return onlyHeld(bed, live) })
	})
	t.Run("live program is still served", func(t *testing.T) {
		assertOK(t, testbed.Retry(func() testbed.Reply { return bed.VMs[1].Ask(bed.Key, live, 2, "hello") }))
	})
}

func setFaults(bed *testbed.Bed, f engine.Faults) {
	for _, e := range bed.Engines {
		e.SetFaults(f)
	}
}

// onlyHeld reports whether the engines hold memory for this program only.
func onlyHeld(bed *testbed.Bed, program string) bool {
	n := 0
	for _, e := range bed.Engines {
		held := e.Held()
		if len(held) > 1 || (len(held) == 1 && held[program] == 0) {
			return false
		}
		n += len(held)
	}
	return n > 0
}
