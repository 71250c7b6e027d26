package relay

import (
	"testing"
	"time"
)

// rareAsks asks a VM one question after the other, each answered after a time,
// and returns how many copies are passed on.
func rareAsks(p *path, asks int, takes, pause time.Duration) (copies int) {
	now := time.Unix(1_000_000, 0)
	for range asks {
		asked := now
		p.asked(asked)
		for ; now.Sub(asked) < takes; now = now.Add(directHeadStart) {
			if now != asked && p.mayPass(now) {
				copies++
			}
		}
		p.answered(asked, now)
		now = now.Add(pause)
	}
	return copies
}

// Guards against the overload of incident SHORT: a slow VM counts as lost for
// those that seldom ask it, so that each of their questions is copied.
func TestSlowIsNotLost(t *testing.T) {
	const asks, most = 50, 12
	for _, takes := range []time.Duration{80 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			if copies := rareAsks(newPath(), asks, takes, time.Second); copies > most {
				t.Errorf("%d copies of %d questions, want at most %d", copies, asks, most)
			}
		})
	}
}

func TestPath(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	t.Run("lost once nothing was heard for a while, also over several questions", func(t *testing.T) {
		p := newPath()
		for i := range 5 {
			p.asked(begin.Add(time.Duration(i) * minLost / 4))
		}
		p.mayPass(begin.Add(minLost))
		if !p.lost {
			t.Error("the path is not lost")
		}
	})
	t.Run("there again with the first answer", func(t *testing.T) {
		p := newPath()
		p.broken()
		p.answered(begin, begin.Add(time.Millisecond))
		if p.lost {
			t.Error("the path is lost")
		}
	})
	t.Run("a VM that fails to pass on is not kept", func(t *testing.T) {
		p := newPath()
		p.passed("vm2", true)
		p.passed("vm3", false)
		if p.via != "vm2" {
			t.Errorf("questions go through %q", p.via)
		}
		p.passed("vm2", false)
		if p.via != "" {
			t.Errorf("questions go through %q", p.via)
		}
	})
}
