package metrics

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	nameWork = "work.took_us"
	// maxTasks bounds the kinds of task that are counted apart.
	maxTasks = 64
)

// Work counts what a process does for other VMs and what it waits for, by kind
// of task.
type Work struct {
	registry metrics.Registry
	tasks    *bounded

	mu     sync.Mutex
	latest map[string]*Tally
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
	return &Work{registry: registry, tasks: newBounded(maxTasks), latest: make(map[string]*Tally)}
}

// Took counts a task that has ended and how long it took.
func (w *Work) Took(task string, took time.Duration) {
	task = w.tasks.value(task)
	w.registry.GetOrRegister(Labelled(nameWork, "task", task), newHistogram).(metrics.Histogram).Update(took.Microseconds())
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.latest[task]
	if !ok {
		t = &Tally{task: task}
		w.latest[task] = t
	}
	t.count++
	t.total += took
	t.longest = max(t.longest, took)
}

// Latest returns the tallies since its last call, in the order of their tasks.
func (w *Work) Latest() []Tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Tally, 0, len(w.latest))
	for _, t := range w.latest {
		list = append(list, *t)
	}
	clear(w.latest)
	slices.SortFunc(list, func(a, b Tally) int { return cmp.Compare(a.task, b.task) })
	return list
}
