package node

import (
	"context"
	"fmt"
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
	// passedOn marks the questions that came through another VM.
	passedOn = "_passed_on"
)

// kindOneof is the part of the wire format that says what is asked.
var kindOneof = (&vmpb.Open{}).ProtoReflect().Descriptor().Oneofs().ByName("kind")

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
	field := open.ProtoReflect().WhichOneof(kindOneof)
	if field == nil {
		return "unknown"
	}
	return string(field.Name())
}

// tellWork logs what the process did, until ctx ends.
func (n *Node) tellWork(ctx context.Context) {
	var before time.Duration
	for clock.Wait(ctx, n.clock, workInterval) {
		used, err := processorTime()
		n.logWork(used-before, err, n.work.Latest())
		before = used
	}
}

// logWork writes how much processor time was used, or why that is not known, and
// of each task how often it was done and how long it took.
func (n *Node) logWork(used time.Duration, err error, tallies []metrics.Tally) {
	line := n.log.Event(events.WorkDone).Err(err)
	if err == nil {
		line.Int("processor_ms", int(used.Milliseconds()))
	}
	for _, t := range tallies {
		line.Int(t.Task(), t.Count()).Int(t.Task()+"_mean_us", int(t.Mean().Microseconds())).
			Int(t.Task()+"_longest_us", int(t.Longest().Microseconds()))
	}
	line.Emit()
}

// processorTime returns what the process has used so far.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
