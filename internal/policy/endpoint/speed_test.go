package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
	"pgregory.net/rapid"
)

// learn records a request of an endpoint that reports a pace.
func learn(table *endpoint.Table, name string, prompt, generated int, pace float64, took time.Duration, now time.Time) {
	q := query("", prompt)
	table.ChooseNamed(name, q, now)
	table.Report(name, endpoint.NewReport(0, 1, 0, 0).WithPace(pace), now)
	table.Learn(name, q, endpoint.NewSample(generated, pace, took), now)
	table.Done(name, endpoint.Served, took, now)
}

func assertSpeed(t rapid.TB, table *endpoint.Table, name string, lowest, highest float64, now time.Time) {
	t.Helper()
	e, ok := table.Estimate(name, now)
	if !ok || e.Speed() < lowest || e.Speed() > highest {
		t.Errorf("speed of %s is %.2f (%t), want %.2f to %.2f", name, e.Speed(), ok, lowest, highest)
	}
}

func TestSpeedIsLearnt(t *testing.T) {
	const samples = 10
	// took is the duration of a request at an endpoint of speed 1.
	took := func(prompt, generated int) time.Duration {
		seconds := 0.05 + float64(generated)/400 + float64(prompt)/endpoint.DefaultParams().PrefillPerSecond
		return time.Duration(seconds * float64(time.Second))
	}
	scale := func(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
	t.Run("of a fast and a slow endpoint from few samples", func(t *testing.T) {
		table := newTable(engines(3))
		for i := range samples {
			generated := 50 + 20*i
			for e, factor := range []float64{0.6, 1, 1.6} {
				learn(table, fmt.Sprintf("e%d", e), 1000, generated, 1, scale(took(1000, generated), factor), start)
			}
		}
		// Only the ratios of speeds affect a choice.
		mean, _ := table.Estimate("e1", start)
		assertSpeed(t, table, "e0", 0.5*mean.Speed(), 0.75*mean.Speed(), start)
		assertSpeed(t, table, "e2", 1.3*mean.Speed(), 1.7*mean.Speed(), start)
	})
	// Guards against an endpoint that is taken to be slow since its requests are long.
	t.Run("apart from the size of requests", func(t *testing.T) {
		table := newTable(engines(2))
		for i := range samples {
			learn(table, "e0", 500, 40+i, 1, took(500, 40+i), start)
			learn(table, "e1", 9000, 400+i, 1, took(9000, 400+i), start)
		}
		assertSpeed(t, table, "e0", 0.85, 1.2, start)
		assertSpeed(t, table, "e1", 0.85, 1.2, start)
	})
	// Guards against an endpoint that is taken to be slow for good since its pace was
	// slow for a moment.
	t.Run("apart from the pace", func(t *testing.T) {
		table := newTable(engines(2))
		for range samples {
			learn(table, "e0", 1000, 100, 2.5, scale(took(1000, 100), 2.5), start)
			learn(table, "e1", 1000, 100, 1, took(1000, 100), start)
		}
		assertSpeed(t, table, "e0", 0.95, 1.05, start)
		assertSpeed(t, table, "e1", 0.95, 1.05, start)
	})
	t.Run("and returns to 1 without samples", func(t *testing.T) {
		table := newTable(engines(2))
		for range samples {
			learn(table, "e0", 1000, 100, 1, took(1000, 100), start)
			learn(table, "e1", 1000, 100, 1, scale(took(1000, 100), 3), start)
		}
		assertSpeed(t, table, "e1", 1.3, 2.5, start)
		assertSpeed(t, table, "e1", 0.99, 1.01, start.Add(24*time.Hour))
	})
}

// Guards against samples that make an endpoint seem to be so fast that it attracts all
// requests, or so slow that it gets none, and against a cost that is no number.
func TestSpeedIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(engines(3))
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			name := fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "endpoint"))
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			took := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "took"))
			pace := rapid.Float64Range(0.001, 1000).Draw(t, "pace")
			learn(table, name, rapid.IntRange(0, 1<<20).Draw(t, "prompt"), rapid.IntRange(0, 1<<20).Draw(t, "generated"), pace, took, now)
			assertSpeed(t, table, name, 0.4, 2.5, now)
		}
		assertChoice(t, table, query("p", 100), now)
	})
}

// Guards against a pace that counts after it has changed, and against one that
// excludes an endpoint for good.
func TestReportedPaceCountsWhileItIsNew(t *testing.T) {
	choices := func(age time.Duration) (atSlow int) {
		const requests = 100
		for i := range requests {
			table := newTable(engines(2))
			for name, pace := range map[string]float64{"e0": 2.5, "e1": 1} {
				table.Report(name, endpoint.NewReport(0, 0, 0, 0).WithPace(pace), start)
			}
			for range i % 2 {
				// Another sequence of random numbers.
				table.Done(assertChoice(t, table, query("p", 1), start), endpoint.Unknown, 0, start)
			}
			if assertChoice(t, table, query("p", 1), start.Add(age)) == "e0" {
				atSlow++
			}
		}
		return atSlow
	}
	if got := choices(10 * time.Millisecond); got != 0 {
		t.Errorf("%d of 100 requests go to the endpoint that has just reported a slow pace", got)
	}
	if got := choices(10 * time.Second); got == 0 {
		t.Error("no request goes to the endpoint that reported a slow pace 10 s ago")
	}
}

// Guards against speeds that are used where no endpoint reports a pace.
func TestSpeedIsNotLearntWithoutPace(t *testing.T) {
	table := newTable(engines(1))
	learn(table, "e0", 1000, 100, 0, time.Second, start)
	if _, ok := table.Estimate("e0", start); ok {
		t.Error("there is an estimate of an endpoint that reports no pace")
	}
}
