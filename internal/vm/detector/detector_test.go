package detector_test

import (
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/vm/detector"
)

const holder = "10.0.0.1:7000"

var begin = time.Unix(1_000_000, 0)

func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func assertSuspected(t *testing.T, d *detector.Detector, want bool) {
	t.Helper()
	if got := d.Suspected(holder); got != want {
		t.Errorf("suspected %v, want %v", got, want)
	}
}

func TestDetector(t *testing.T) {
	missed := func() *detector.Detector {
		d := detector.New()
		d.Missed(holder, begin)
		return d
	}
	t.Run("one miss is enough", func(t *testing.T) { assertSuspected(t, missed(), true) })
	t.Run("only the first miss is news", func(t *testing.T) {
		if missed().Missed(holder, after(1)) {
			t.Error("a second miss counts as the first")
		}
	})
	t.Run("answer to an earlier question changes nothing", func(t *testing.T) {
		d := missed()
		d.Answered(holder, after(-10))
		d.Answered(holder, after(-5))
		assertSuspected(t, d, true)
	})
	t.Run("one answer is not enough", func(t *testing.T) {
		d := missed()
		d.Answered(holder, after(10))
		assertSuspected(t, d, true)
	})
	t.Run("answers that hold", func(t *testing.T) {
		d := missed()
		d.Answered(holder, after(10))
		d.Answered(holder, after(20))
		assertSuspected(t, d, false)
	})
	t.Run("a miss in between starts again", func(t *testing.T) {
		d := missed()
		d.Answered(holder, after(10))
		d.Missed(holder, after(20))
		d.Answered(holder, after(30))
		assertSuspected(t, d, true)
	})
	t.Run("probes of a silent VM become rare", func(t *testing.T) {
		d := missed()
		first := d.NextProbe(holder)
		for range 5 {
			d.NextProbe(holder)
		}
		if last := d.NextProbe(holder); last != time.Second || first >= last {
			t.Errorf("pauses from %v to %v", first, last)
		}
	})
}

// A lost holder is found out once, however many programs start meanwhile: of
// 30 programs a second for 10 s only those of the first moment meet it.
func TestLostHolderCostsOneTimeout(t *testing.T) {
	const (
		timeout = 120 * time.Millisecond
		gap     = time.Second / 30
	)
	d := detector.New()
	waited := 0
	var misses []time.Time
	for now := begin; now.Before(begin.Add(10 * time.Second)); now = now.Add(gap) {
		for len(misses) > 0 && !misses[0].After(now) {
			d.Missed(holder, misses[0])
			misses = misses[1:]
		}
		if d.Suspected(holder) {
			continue
		}
		waited++
		misses = append(misses, now.Add(timeout))
	}
	if most := int(timeout/gap) + 1; waited > most {
		t.Errorf("%d programs waited for the lost holder, want at most %d", waited, most)
	}
}
