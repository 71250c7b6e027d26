package metrics_test

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

func TestWork(t *testing.T) {
	w := metrics.NewWork(gometrics.NewRegistry())
	w.Took("reserve", time.Millisecond)
	w.Took("reserve", 3*time.Millisecond)
	w.Took("announce", time.Millisecond)
	t.Run("tasks are counted apart", func(t *testing.T) {
		list := w.Latest()
		if len(list) != 2 || list[0].Task() != "announce" || list[1].Count() != 2 {
			t.Fatalf("tallies %v", list)
		}
		if list[1].Mean() != 2*time.Millisecond || list[1].Longest() != 3*time.Millisecond {
			t.Errorf("mean %s, longest %s", list[1].Mean(), list[1].Longest())
		}
	})
	t.Run("each is told once", func(t *testing.T) {
		if list := w.Latest(); len(list) != 0 {
			t.Errorf("tallies %v", list)
		}
	})
}
