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
	maxLatency      = 10 * time.Minute
	histogramDigits = 3
	maxDetails      = 20
)

// Report counts the outcomes of the programs and the refused requests.
type Report struct {
	mu               sync.Mutex
	latency          *hdrhistogram.Histogram
	finishedPrograms int
	turns            int
	unknownOutcomes  int
	lostPrograms     int
	mixedHistories   int
	duplicateOrders  int
	failures         int
	refusals         map[string]int
	details          []string
}

func newReport() *Report {
	return &Report{
		latency:  hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		refusals: make(map[string]int),
	}
}

func (r *Report) increment(n *int, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
	if detail != "" && len(r.details) < maxDetails {
		r.details = append(r.details, detail)
	}
}

func (r *Report) countTurn()                        { r.increment(&r.turns, "") }
func (r *Report) countUnknownOutcome()              { r.increment(&r.unknownOutcomes, "") }
func (r *Report) countLostProgram(detail string)    { r.increment(&r.lostPrograms, detail) }
func (r *Report) countMixedHistory(detail string)   { r.increment(&r.mixedHistories, detail) }
func (r *Report) countDuplicateOrder(detail string) { r.increment(&r.duplicateOrders, detail) }
func (r *Report) countFailure(detail string)        { r.increment(&r.failures, detail) }

func (r *Report) countRefusal(code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals[code]++
}

func (r *Report) recordFinished(duration time.Duration, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishedPrograms++
	_ = r.latency.RecordValue(duration.Microseconds())
}

func (r *Report) showProgress(w io.Writer) func() {
	ticker := time.NewTicker(progressInterval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				r.mu.Lock()
				_, _ = fmt.Fprintf(w, "programs finished %d, turns %d, lost %d\n", r.finishedPrograms, r.turns, r.lostPrograms)
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
		{"programs", fmt.Sprint(r.finishedPrograms)},
		{"turns", fmt.Sprint(r.turns)},
		{"latency p50", r.percentile(50)},
		{"latency p95", r.percentile(95)},
		{"latency p99", r.percentile(99)},
		{"orders that may have run", fmt.Sprint(r.unknownOutcomes)},
		{"doubled", fmt.Sprint(r.duplicateOrders)},
		{"lost", fmt.Sprint(r.lostPrograms)},
		{"mixed", fmt.Sprint(r.mixedHistories)},
		{"failed", fmt.Sprint(r.failures)},
	}
	for _, code := range slices.Sorted(maps.Keys(r.refusals)) {
		rows = append(rows, [2]string{"refused: " + code, fmt.Sprint(r.refusals[code])})
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(w, "%-28s %s\n", row[0], row[1]); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	for _, detail := range r.details {
		if _, err := fmt.Fprintln(w, "  "+detail); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

func (r *Report) percentile(p float64) string {
	return (time.Duration(r.latency.ValueAtQuantile(p)) * time.Microsecond).Round(time.Millisecond).String()
}

// Err returns an error if a guarantee was violated.
func (r *Report) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostPrograms+r.mixedHistories+r.duplicateOrders+r.failures > 0 {
		return errors.New("a promise was broken; see the report")
	}
	return nil
}
