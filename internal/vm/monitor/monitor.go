package monitor

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/vm/detector"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// probeDelay is how long a request waits for a reply before the VM is probed.
	probeDelay = 150 * time.Millisecond
	// probeTimeout is the timeout of a probe, which a VM replies to without its disk
	// or the platform.
	probeTimeout = 150 * time.Millisecond
	// minProbedTimeout is the shortest timeout of a request during which the VM is
	// probed; a shorter one ends soon anyway.
	minProbedTimeout = 500 * time.Millisecond
)

// Dependencies are the dependencies of a Monitor. Name is what a request calls its VM.
type Dependencies struct {
	Invoker peer.Invoker
	Clock   hawthornrail.Clock
	// Current reports whether a VM still has an address.
	Current func(name, address string) bool
	// Unresponsive and Responsive are called when a VM becomes suspected to be down and
	// when it is trusted again.
	Unresponsive func(name, address string, err error)
	Responsive   func(name, address string)
}

// Monitor sends requests to VMs and tracks which ones are suspected to be down.
type Monitor struct {
	deps     Dependencies
	detector *detector.Detector
}

// New returns a monitor that suspects no VM.
func New(deps Dependencies) *Monitor { return &Monitor{deps: deps, detector: detector.New()} }

// Suspected reports whether the VM at an address is suspected to be down.
func (m *Monitor) Suspected(address string) bool { return m.detector.Suspected(address) }

// Invoke sends a request to a VM. It fails before the timeout if the VM does not reply
// to a probe either.
func (m *Monitor) Invoke(ctx context.Context, timeout time.Duration, name, address string, open *vmpb.Open, reply proto.Message) error {
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if timeout >= minProbedTimeout {
		go m.cancelIfUnresponsive(requestCtx, cancel, address)
	}
	return m.send(ctx, requestCtx, name, address, open, reply)
}

// InvokeWithin is like Invoke and waits for the whole timeout.
func (m *Monitor) InvokeWithin(ctx context.Context, timeout time.Duration, name, address string, open *vmpb.Open, reply proto.Message) error {
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return m.send(ctx, requestCtx, name, address, open, reply)
}

// send sends a request within requestCtx and records whether the VM replies, unless ctx,
// that of the caller, has ended.
func (m *Monitor) send(ctx, requestCtx context.Context, name, address string, open *vmpb.Open, reply proto.Message) error {
	sentAt := m.deps.Clock.Now()
	_, err := m.deps.Invoker.Invoke(requestCtx, address, open, reply)
	switch {
	case err == nil, errors.Is(err, peer.ErrDeclined):
		// A VM that declines is up but cannot decide.
		m.recordReply(name, address, sentAt)
	case ctx.Err() == nil:
		// A canceled context says nothing about the VM.
		m.recordFailure(name, address, err)
	}
	return err
}

// Suspect records that a VM did not reply to a request in time.
func (m *Monitor) Suspect(name, address string, err error) { m.recordFailure(name, address, err) }

// cancelIfUnresponsive cancels a request to a VM that does not reply to a probe.
func (m *Monitor) cancelIfUnresponsive(requestCtx context.Context, cancel context.CancelFunc, address string) {
	if clock.Wait(requestCtx, m.deps.Clock, probeDelay) && m.probe(requestCtx, address) != nil {
		cancel()
	}
}

func (m *Monitor) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return peer.Probe(ctx, m.deps.Invoker, address)
}

func (m *Monitor) recordReply(name, address string, sentAt time.Time) {
	if m.detector.RecordReply(address, sentAt) {
		m.deps.Responsive(name, address)
	}
}

func (m *Monitor) recordFailure(name, address string, err error) {
	if !m.detector.RecordTimeout(address, m.deps.Clock.Now()) {
		return
	}
	m.deps.Unresponsive(name, address, err)
	go m.watch(name, address)
}

// watch probes a suspected VM until it is trusted again or another VM has replaced it.
func (m *Monitor) watch(name, address string) {
	for m.detector.Suspected(address) {
		m.deps.Clock.Sleep(m.detector.NextProbe(address))
		if !m.deps.Current(name, address) {
			m.detector.Forget(address)
			return
		}
		sentAt := m.deps.Clock.Now()
		if m.probe(context.Background(), address) != nil {
			m.detector.RecordTimeout(address, m.deps.Clock.Now())
			continue
		}
		m.recordReply(name, address, sentAt)
	}
}
