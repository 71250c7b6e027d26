package account

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/detector"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// probeDelay is how long a request waits for a reply before the holder is
	// probed.
	probeDelay = 150 * time.Millisecond
	// probeTimeout is the timeout of a probe, which a holder replies to without its
	// disk or the platform.
	probeTimeout = 150 * time.Millisecond
	// minProbedTimeout is the shortest timeout of a request during which the holder is
	// probed; a shorter one ends soon anyway.
	minProbedTimeout = 500 * time.Millisecond
)

var (
	errNoHolder  = errors.New("holder is not known")
	errSuspected = errors.New("holder is suspected to be down")
)

// holderClient sends requests to the holders of data centres and tracks which
// ones are unresponsive.
type holderClient struct {
	config   hawthornrail.Configuration
	invoker  peer.Invoker
	clock    hawthornrail.Clock
	log      events.Logger
	detector *detector.Detector
}

func newHolderClient(config hawthornrail.Configuration, invoker peer.Invoker, clock hawthornrail.Clock, log events.Logger) *holderClient {
	return &holderClient{config: config, invoker: invoker, clock: clock, log: log, detector: detector.New()}
}

// address returns the address of the holder of a data centre.
func (h *holderClient) address(dataCentre string) (string, error) {
	vm, ok := h.config.Snapshot().VM(dataCentre)
	if !ok || vm.Address() == "" {
		return "", fmt.Errorf("holder of %s: %w", dataCentre, errNoHolder)
	}
	return vm.Address(), nil
}

// request sends a request to the holder of a data centre. It fails before the
// timeout if the holder does not reply to a probe either.
func (h *holderClient) request(ctx context.Context, timeout time.Duration, dataCentre string, open *vmpb.Open, reply proto.Message) error {
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if address, err := h.address(dataCentre); err == nil && timeout >= minProbedTimeout {
		go h.cancelIfUnresponsive(requestCtx, cancel, address)
	}
	return h.send(ctx, requestCtx, dataCentre, open, reply)
}

// requestWithin is like request and waits for the whole timeout.
func (h *holderClient) requestWithin(ctx context.Context, timeout time.Duration, dataCentre string, open *vmpb.Open, reply proto.Message) error {
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.send(ctx, requestCtx, dataCentre, open, reply)
}

// send sends a request within requestCtx and records whether the holder replies, unless
// ctx, that of the caller, has ended.
func (h *holderClient) send(ctx, requestCtx context.Context, dataCentre string, open *vmpb.Open, reply proto.Message) error {
	address, err := h.address(dataCentre)
	if err != nil {
		return err
	}
	sentAt := h.clock.Now()
	_, err = h.invoker.Invoke(requestCtx, address, open, reply)
	if err == nil {
		h.recordReply(dataCentre, address, sentAt)
		return nil
	}
	if errors.Is(err, peer.ErrDeclined) {
		// The holder is up but cannot decide.
		h.recordReply(dataCentre, address, sentAt)
		return fmt.Errorf("holder of %s: %w", dataCentre, err)
	}
	// A canceled context says nothing about the holder.
	if ctx.Err() == nil {
		h.recordFailure(dataCentre, address, err)
	}
	return fmt.Errorf("holder of %s: %w", dataCentre, err)
}

// suspect records that the holder of a data centre did not reply to a request in time.
func (h *holderClient) suspect(dataCentre string, err error) {
	if address, addressErr := h.address(dataCentre); addressErr == nil {
		h.recordFailure(dataCentre, address, err)
	}
}

// cancelIfUnresponsive cancels a request to a holder that does not reply to a
// probe.
func (h *holderClient) cancelIfUnresponsive(requestCtx context.Context, cancel context.CancelFunc, address string) {
	if clock.Wait(requestCtx, h.clock, probeDelay) && h.probe(requestCtx, address) != nil {
		cancel()
	}
}

func (h *holderClient) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return peer.Probe(ctx, h.invoker, address)
}

func (h *holderClient) recordReply(dataCentre, address string, sentAt time.Time) {
	if h.detector.RecordReply(address, sentAt) {
		h.log.Event(events.HolderResponsive).Str("data_centre", dataCentre).Str("address", address).Emit()
	}
}

func (h *holderClient) recordFailure(dataCentre, address string, err error) {
	if !h.detector.RecordTimeout(address, h.clock.Now()) {
		return
	}
	h.log.Event(events.HolderUnresponsive).Str("data_centre", dataCentre).Str("address", address).Err(err).Emit()
	go h.watch(dataCentre, address)
}

// watch probes a suspected holder until it is trusted again or another VM has
// replaced it.
func (h *holderClient) watch(dataCentre, address string) {
	for h.detector.Suspected(address) {
		h.clock.Sleep(h.detector.NextProbe(address))
		if current, err := h.address(dataCentre); err != nil || current != address {
			h.detector.Forget(address)
			return
		}
		sentAt := h.clock.Now()
		if h.probe(context.Background(), address) != nil {
			h.detector.RecordTimeout(address, h.clock.Now())
			continue
		}
		h.recordReply(dataCentre, address, sentAt)
	}
}

// unresponsive reports whether a holder is suspected to be down or has no known
// address.
func (h *holderClient) unresponsive(dataCentre string) bool {
	address, err := h.address(dataCentre)
	return err != nil || h.detector.Suspected(address)
}
