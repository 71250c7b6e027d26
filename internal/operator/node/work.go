package node

import (
	"context"
	"syscall"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// workInterval is the time between two log lines on the work of a process.
	workInterval = 5 * time.Second
	// kindOneof is the field of the wire format that says what is asked.
	kindOneof = "kind"
	// passedOn marks the questions that came through another VM.
	passedOn = "_passed_on"
)

// counted returns a handler that counts the questions of other VMs.
func (n *Node) counted(handler peer.Handler) peer.Handler {
	return func(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
		start := n.clock.Now()
		handler(ctx, open, s)
		n.work.Took(taskOf(open), n.clock.Since(start))
	}
}

// taskOf names what another VM asks.
func taskOf(open *vmpb.Open) string {
	if inner := open.GetRelayed().GetQuestion(); inner != nil {
		return taskOf(inner) + passedOn
	}
	m := open.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName(kindOneof))
	if field == nil {
		return "unknown"
	}
	return string(field.Name())
}

// tellWork logs what the process did, until ctx ends.
func (n *Node) tellWork(ctx context.Context) {
	before := processorTime()
	for {
		if !clock.Wait(ctx, n.clock, workInterval) {
			return
		}
		used := processorTime()
		n.logWork(used-before, n.work.Latest())
		before = used
	}
}

// logWork writes how much processor time was used, and of each task how often
// it was done and how long it took.
func (n *Node) logWork(used time.Duration, tallies []metrics.Tally) {
	line := n.log.Event(events.WorkDone).Int("processor_ms", int(used.Milliseconds()))
	for _, t := range tallies {
		line.Int(t.Task(), t.Count()).Int(t.Task()+"_mean_us", int(t.Mean().Microseconds())).
			Int(t.Task()+"_longest_us", int(t.Longest().Microseconds()))
	}
	line.Emit()
}

// processorTime returns what the process has used so far, or 0 if the system
// does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
