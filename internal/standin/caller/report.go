package caller

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestProgram = 10 * time.Minute
	histogramPrec  = 3
	maxComplaints  = 20
)

// Report is what became of the programs.
type Report struct {
	mu         sync.Mutex
	latency    *hdrhistogram.Histogram
	programs   int
	turns      int
	unknowns   int
	lost       int
	mixed      int
	doubled    int
	failed     int
	refusals   map[string]int
	complaints []string
}

func newReport() *Report {
	return &Report{
		latency:  hdrhistogram.New(1, longestProgram.Microseconds(), histogramPrec),
		refusals: make(map[string]int),
	}
}

func (r *Report) count(n *int, complaint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
	if complaint != "" && len(r.complaints) < maxComplaints {
		r.complaints = append(r.complaints, complaint)
	}
}

func (r *Report) turn()                   { r.count(&r.turns, "") }
func (r *Report) unknown()                { r.count(&r.unknowns, "") }
func (r *Report) lose(complaint string)   { r.count(&r.lost, complaint) }
func (r *Report) mix(complaint string)    { r.count(&r.mixed, complaint) }
func (r *Report) double(complaint string) { r.count(&r.doubled, complaint) }
func (r *Report) fail(complaint string)   { r.count(&r.failed, complaint) }

func (r *Report) refuse(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[code]++
}

func (r *Report) finish(took time.Duration, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.programs++
	_ = r.latency.RecordValue(took.Microseconds())
}

func (r *Report) showProgress(w io.Writer) func() {
	ticker := time.NewTicker(progressEvery)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				r.mu.Lock()
				_, _ = fmt.Fprintf(w, "programs finished %d, turns %d, lost %d\n", r.programs, r.turns, r.lost)
				r.mu.Unlock()
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := [][2]string{
		{"programs", fmt.Sprint(r.programs)},
		{"turns", fmt.Sprint(r.turns)},
		{"latency p50", r.quantile(50)},
		{"latency p95", r.quantile(95)},
		{"latency p99", r.quantile(99)},
		{"orders that may have run", fmt.Sprint(r.unknowns)},
		{"doubled", fmt.Sprint(r.doubled)},
		{"lost", fmt.Sprint(r.lost)},
		{"mixed", fmt.Sprint(r.mixed)},
		{"failed", fmt.Sprint(r.failed)},
	}
	for _, code := range slices.Sorted(maps.Keys(r.refusals)) {
		rows = append(rows, [2]string{"refused: " + code, fmt.Sprint(r.refusals[code])})
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(w, "%-28s %s\n", row[0], row[1]); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	for _, complaint := range r.complaints {
		if _, err := fmt.Fprintln(w, "  "+complaint); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

func (r *Report) quantile(q float64) string {
	return (time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond).String()
}

// Err says whether a promise was broken.
func (r *Report) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost+r.mixed+r.doubled+r.failed > 0 {
		return errors.New("a promise was broken; see the report")
	}
	return nil
}
