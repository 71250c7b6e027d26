package detector_test

import (
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/vm/detector"
)

const holder = "10.0.0.1:7000"

var startTime = time.Unix(1_000_000, 0)

func afterMillis(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func assertSuspected(t *testing.T, d *detector.Detector, want bool) {
	t.Helper()
	if got := d.Suspected(holder); got != want {
		t.Errorf("suspected %v, want %v", got, want)
	}
}

func TestDetector(t *testing.T) {
	newSuspecting := func() *detector.Detector {
		d := detector.New()
		d.RecordTimeout(holder, startTime)
		return d
	}
	t.Run("one miss is enough", func(t *testing.T) { assertSuspected(t, newSuspecting(), true) })
	t.Run("only the first miss reports a new suspect", func(t *testing.T) {
		if newSuspecting().RecordTimeout(holder, afterMillis(1)) {
			t.Error("a second miss counts as the first")
		}
	})
	t.Run("reply to a request before the miss is ignored", func(t *testing.T) {
		d := newSuspecting()
		d.RecordReply(holder, afterMillis(-10))
		d.RecordReply(holder, afterMillis(-5))
		assertSuspected(t, d, true)
	})
	t.Run("one reply is not enough", func(t *testing.T) {
		d := newSuspecting()
		d.RecordReply(holder, afterMillis(10))
		assertSuspected(t, d, true)
	})
	t.Run("trusted after enough consecutive replies", func(t *testing.T) {
		d := newSuspecting()
		d.RecordReply(holder, afterMillis(10))
		d.RecordReply(holder, afterMillis(20))
		assertSuspected(t, d, false)
	})
	t.Run("a miss resets the count of replies", func(t *testing.T) {
		d := newSuspecting()
		d.RecordReply(holder, afterMillis(10))
		d.RecordTimeout(holder, afterMillis(20))
		d.RecordReply(holder, afterMillis(30))
		assertSuspected(t, d, true)
	})
	t.Run("pause before probes of an unresponsive VM grows to its maximum", func(t *testing.T) {
		d := newSuspecting()
		first := d.NextProbe(holder)
		for range 5 {
			d.NextProbe(holder)
		}
		if last := d.NextProbe(holder); last != time.Second || first >= last {
			t.Errorf("pauses from %v to %v", first, last)
		}
	})
}

// Only the programs that start before the first timeout wait for an unreachable
// holder: at 30 programs a second for 10 s, all later ones avoid it.
func TestUnreachableHolderCostsOneTimeout(t *testing.T) {
	const (
		timeout  = 120 * time.Millisecond
		interval = time.Second / 30
	)
	d := detector.New()
	waited := 0
	var misses []time.Time
	for now := startTime; now.Before(startTime.Add(10 * time.Second)); now = now.Add(interval) {
		for len(misses) > 0 && !misses[0].After(now) {
			d.RecordTimeout(holder, misses[0])
			misses = misses[1:]
		}
		if d.Suspected(holder) {
			continue
		}
		waited++
		misses = append(misses, now.Add(timeout))
	}
	if limit := int(timeout/interval) + 1; waited > limit {
		t.Errorf("%d programs waited for the unreachable holder, want at most %d", waited, limit)
	}
}
