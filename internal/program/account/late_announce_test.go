package account_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against programs that are refused for good because two of three holders were slow
// when they began: what the home sets aside for these comes back, but for what they have
// given while they reached nobody.
func TestLateRepliesReturnShares(t *testing.T) {
	// callAll makes calls of lossBudget's program until none is granted any more.
	callAll := func(f *fleet, dc string) (granted int) {
		for f.callUntilDecided(dc, fmt.Sprint(dc, granted)) {
			granted++
		}
		return granted
	}
	// The budget allows a call as long as lossCall is left.
	const allCalls = (lossBudget-lossCall)/lossUsed + 1
	t.Run("slow to reply", func(t *testing.T) {
		f := newFleet(t, 1)
		f.announceReplyDelay = lateAnnounceReply
		if granted, _ := f.call("dc1", "first"); !granted {
			t.Error("the first call is refused")
		}
		assertCount(t, "calls", callAll(f, "dc1"), allCalls-1)
	})
	t.Run("suspected since another program", func(t *testing.T) {
		f := newFleet(t, 1)
		f.budgets["other"] = lossBudget
		f.announceReplyDelay = lateAnnounceReply
		f.reserve("dc1", "other", "first", lossCall)
		assertCount(t, "calls", callAll(f, "dc1"), allCalls)
	})
	for name, lostDisk := range map[string]bool{"one has given its share": false, "and then lost its disk": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.budgets["program"] = 3 * lossCall
			f.withLock(func() { f.partitioned, f.platformDown = map[string]bool{"dc3": true}, true })
			granted := 0
			reserve := func(dc, call string) {
				if f.reserve(dc, "program", call, lossCall) {
					granted++
				}
			}
			reserve("dc3", "isolated")
			if lostDisk {
				f.replaceDisk(t, "dc3")
			}
			f.withLock(func() { f.partitioned, f.platformDown, f.announceReplyDelay = nil, false, lateAnnounceReply })
			for end := time.Now().Add(2 * lateAnnounceReply); time.Now().Before(end); {
				reserve("dc1", fmt.Sprint(granted))
			}
			f.assertWithinBudgets(t)
			assertCount(t, "calls", granted, 3)
		})
	}
}

func assertCount(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%d %s are granted, want %d", got, what, want)
	}
}
