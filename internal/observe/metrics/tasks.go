package metrics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const nameTaskDuration = "work.took_us"

// Tasks records the tasks that a process does for other VMs and its waits, by
// kind of task.
type Tasks struct {
	registry metrics.Registry

	mu    sync.Mutex
	tasks map[string]*taskStats
}

// taskStats are the statistics of one kind of task: a histogram over the life of
// the process and a tally since the last call of TakeTallies.
type taskStats struct {
	histogram metrics.Histogram
	latest    Tally
}

// Tally counts the tasks of one kind since the last call of Tasks.TakeTallies.
type Tally struct {
	kind    string
	count   int
	total   time.Duration
	longest time.Duration
}

// Task returns the kind of the tasks.
func (t Tally) Task() string { return t.kind }

// Count returns the number of tasks.
func (t Tally) Count() int { return t.count }

// Mean returns the mean duration of the tasks.
func (t Tally) Mean() time.Duration { return t.total / time.Duration(max(1, t.count)) }

// Longest returns the longest duration of a task.
func (t Tally) Longest() time.Duration { return t.longest }

// NewTasks returns a collector without tasks that registers its histograms in
// registry.
func NewTasks(registry metrics.Registry) *Tasks {
	return &Tasks{registry: registry, tasks: make(map[string]*taskStats)}
}

// Record records the duration of a completed task. Each kind of task adds a
// histogram, so kinds must come from a small fixed set.
func (t *Tasks) Record(kind string, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats, ok := t.tasks[kind]
	if !ok {
		name := Labelled(nameTaskDuration, "task", kind)
		stats = &taskStats{histogram: t.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)}
		t.tasks[kind] = stats
	}
	stats.histogram.Update(duration.Microseconds())
	stats.latest.kind = kind
	stats.latest.count++
	stats.latest.total += duration
	stats.latest.longest = max(stats.latest.longest, duration)
}

// TakeTallies returns the tallies since its last call, sorted by the kind of task.
func (t *Tasks) TakeTallies() []Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	var tallies []Tally
	for _, stats := range t.tasks {
		if stats.latest.count > 0 {
			tallies = append(tallies, stats.latest)
		}
		stats.latest = Tally{}
	}
	slices.SortFunc(tallies, func(a, b Tally) int { return cmp.Compare(a.kind, b.kind) })
	return tallies
}
