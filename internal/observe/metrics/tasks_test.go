package metrics_test

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

func TestTasks(t *testing.T) {
	w := metrics.NewTasks(gometrics.NewRegistry())
	w.Record("reserve", time.Millisecond)
	w.Record("reserve", 3*time.Millisecond)
	w.Record("announce", time.Millisecond)
	t.Run("kinds of task are counted separately", func(t *testing.T) {
		tallies := w.TakeTallies()
		if len(tallies) != 2 || tallies[0].Task() != "announce" || tallies[1].Count() != 2 {
			t.Fatalf("tallies %v", tallies)
		}
		if tallies[1].Mean() != 2*time.Millisecond || tallies[1].Longest() != 3*time.Millisecond {
			t.Errorf("mean %s, longest %s", tallies[1].Mean(), tallies[1].Longest())
		}
	})
	t.Run("each task is reported once", func(t *testing.T) {
		if tallies := w.TakeTallies(); len(tallies) != 0 {
			t.Errorf("tallies %v", tallies)
		}
	})
}
