package relay

import (
	"testing"
	"time"
)

// sendRarely sends requests to a VM one after the other, each of which gets its
// reply after the latency, and returns how many copies are relayed.
func sendRarely(p *directPath, requests int, latency, pause time.Duration) (copies int) {
	now := time.Unix(1_000_000, 0)
	for range requests {
		sent := now
		p.recordRequest(sent)
		for ; now.Sub(sent) < latency; now = now.Add(relayDelay) {
			if now != sent && p.allowRelay(now) {
				copies++
			}
		}
		p.recordReply(sent, now)
		now = now.Add(pause)
	}
	return copies
}

// Guards against the overload of incident SHORT: the path to a slow VM counted
// as down for senders of rare requests, so that each request was copied.
func TestSlowPathIsNotDown(t *testing.T) {
	const requests, maxCopied = 50, 12
	for _, latency := range []time.Duration{80 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			if copies := sendRarely(newDirectPath(), requests, latency, time.Second); copies > maxCopied {
				t.Errorf("%d copies of %d requests, want at most %d", copies, requests, maxCopied)
			}
		})
	}
}

func TestPath(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	t.Run("down after a time without replies, also over several requests", func(t *testing.T) {
		p := newDirectPath()
		for i := range 5 {
			p.recordRequest(begin.Add(time.Duration(i) * minUnansweredTime / 4))
		}
		p.allowRelay(begin.Add(minUnansweredTime))
		if !p.down {
			t.Error("the path is not down")
		}
	})
	t.Run("up again with the first reply", func(t *testing.T) {
		p := newDirectPath()
		p.recordConnectFailure()
		p.recordReply(begin, begin.Add(time.Millisecond))
		if p.down {
			t.Error("the path is down")
		}
	})
	t.Run("a failed relay is not preferred again", func(t *testing.T) {
		p := newDirectPath()
		p.recordRelay("vm2", true)
		p.recordRelay("vm3", false)
		if p.lastRelay != "vm2" {
			t.Errorf("requests go through %q", p.lastRelay)
		}
		p.recordRelay("vm2", false)
		if p.lastRelay != "" {
			t.Errorf("requests go through %q", p.lastRelay)
		}
	})
}
