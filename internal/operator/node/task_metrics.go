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
	// workInterval is the interval at which the work of the process is logged.
	workInterval = 5 * time.Second
	// relayedSuffix marks the requests that another VM relayed.
	relayedSuffix = "_passed_on"
)

// kindOneof is the field of an Open message that holds the kind of request.
var kindOneof = (&vmpb.Open{}).ProtoReflect().Descriptor().Oneofs().ByName("kind")

// countRequests returns a handler that counts the requests of other VMs and
// measures how long they take.
func (n *Node) countRequests(handler peer.Handler) peer.Handler {
	return func(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
		start := n.clock.Now()
		handler(ctx, open, s)
		n.tasks.Record(taskName(open), n.clock.Since(start))
	}
}

// taskName returns the kind of request that another VM has sent.
func taskName(open *vmpb.Open) string {
	if inner := open.GetRelayed().GetQuestion(); inner != nil {
		return taskName(inner) + relayedSuffix
	}
	field := open.ProtoReflect().WhichOneof(kindOneof)
	if field == nil {
		return "unknown"
	}
	return string(field.Name())
}

// reportWork logs the work of the process at intervals until ctx is done.
func (n *Node) reportWork(ctx context.Context) {
	var previous time.Duration
	for clock.Wait(ctx, n.clock, workInterval) {
		used, err := processorTime()
		n.logWork(used-previous, err, n.tasks.TakeTallies())
		previous = used
	}
}

// logWork logs the processor time that was used, or the error that occurred
// when it was read, and for each kind of task its count and durations.
func (n *Node) logWork(used time.Duration, err error, tallies []metrics.Tally) {
	line := n.log.Event(events.WorkReport).Err(err)
	if err == nil {
		line.Millis("processor_ms", used)
	}
	for _, t := range tallies {
		line.Int(t.Task(), t.Count()).Int(t.Task()+"_mean_us", int(t.Mean().Microseconds())).
			Int(t.Task()+"_longest_us", int(t.Longest().Microseconds()))
	}
	line.Emit()
}

// processorTime returns the user and system time that the process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
