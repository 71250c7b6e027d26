package metrics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const nameWork = "work.took_us"

// Work counts what a process does for other VMs and what it waits for, by kind
// of task.
type Work struct {
	registry metrics.Registry

	mu    sync.Mutex
	tasks map[string]*task
}

// task is one kind of task, all in all and since the last look.
type task struct {
	histogram metrics.Histogram
	latest    Tally
}

// Tally is how often a kind of task was done since the last look.
type Tally struct {
	task    string
	count   int
	total   time.Duration
	longest time.Duration
}

// Task returns the kind of task.
func (t Tally) Task() string { return t.task }

// Count returns how often it was done.
func (t Tally) Count() int { return t.count }

// Mean returns how long it took on average.
func (t Tally) Mean() time.Duration { return t.total / time.Duration(max(1, t.count)) }

// Longest returns the longest time that it took.
func (t Tally) Longest() time.Duration { return t.longest }

// NewWork registers the counters of a process's work.
func NewWork(registry metrics.Registry) *Work {
	return &Work{registry: registry, tasks: make(map[string]*task)}
}

// Took counts a task that has ended and how long it took; the kinds of task are
// few and fixed.
func (w *Work) Took(kind string, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[kind]
	if !ok {
		name := Labelled(nameWork, "task", kind)
		t = &task{histogram: w.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)}
		w.tasks[kind] = t
	}
	t.histogram.Update(took.Microseconds())
	t.latest.task = kind
	t.latest.count++
	t.latest.total += took
	t.latest.longest = max(t.latest.longest, took)
}

// Latest returns the tallies since its last call, in the order of their tasks.
func (w *Work) Latest() []Tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []Tally
	for _, t := range w.tasks {
		if t.latest.count > 0 {
			list = append(list, t.latest)
		}
		t.latest = Tally{}
	}
	slices.SortFunc(list, func(a, b Tally) int { return cmp.Compare(a.task, b.task) })
	return list
}
