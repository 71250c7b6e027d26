package account

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/monitor"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

var (
	errNoHolder  = errors.New("holder is not known")
	errSuspected = errors.New("holder is suspected to be down")
)

// holderClient sends requests to the holders of data centres and tracks which
// ones are unresponsive.
type holderClient struct {
	config  hawthornrail.Configuration
	log     events.Logger
	monitor *monitor.Monitor
}

func newHolderClient(config hawthornrail.Configuration, invoker peer.Invoker, clock hawthornrail.Clock, log events.Logger) *holderClient {
	h := &holderClient{config: config, log: log}
	h.monitor = monitor.New(monitor.Dependencies{
		Invoker: invoker, Clock: clock, Current: h.isHolder, Unresponsive: h.logUnresponsive, Responsive: h.logResponsive,
	})
	return h
}

// address returns the address of the holder of a data centre.
func (h *holderClient) address(dataCentre string) (string, error) {
	vm, ok := h.config.Snapshot().VM(dataCentre)
	if !ok || vm.Address() == "" {
		return "", fmt.Errorf("holder of %s: %w", dataCentre, errNoHolder)
	}
	return vm.Address(), nil
}

// isHolder reports whether the holder of a data centre has an address.
func (h *holderClient) isHolder(dataCentre, address string) bool {
	current, err := h.address(dataCentre)
	return err == nil && current == address
}

// request sends a request to the holder of a data centre. It fails before the
// timeout if the holder does not reply to a probe either.
func (h *holderClient) request(ctx context.Context, timeout time.Duration, dataCentre string, open *vmpb.Open, reply proto.Message) error {
	address, err := h.address(dataCentre)
	if err != nil {
		return err
	}
	if err := h.monitor.Invoke(ctx, timeout, dataCentre, address, open, reply); err != nil {
		return fmt.Errorf("holder of %s: %w", dataCentre, err)
	}
	return nil
}

// requestWithin is like request and waits for the whole timeout.
func (h *holderClient) requestWithin(ctx context.Context, timeout time.Duration, dataCentre string, open *vmpb.Open, reply proto.Message) error {
	address, err := h.address(dataCentre)
	if err != nil {
		return err
	}
	if err := h.monitor.InvokeWithin(ctx, timeout, dataCentre, address, open, reply); err != nil {
		return fmt.Errorf("holder of %s: %w", dataCentre, err)
	}
	return nil
}

// suspect records that the holder of a data centre did not reply to a request in time.
func (h *holderClient) suspect(dataCentre string, err error) {
	if address, addressErr := h.address(dataCentre); addressErr == nil {
		h.monitor.Suspect(dataCentre, address, err)
	}
}

func (h *holderClient) logUnresponsive(dataCentre, address string, err error) {
	h.log.Event(events.HolderUnresponsive).Str("data_centre", dataCentre).Str("address", address).Err(err).Emit()
}

func (h *holderClient) logResponsive(dataCentre, address string) {
	h.log.Event(events.HolderResponsive).Str("data_centre", dataCentre).Str("address", address).Emit()
}

// unresponsive reports whether a holder is suspected to be down or has no known
// address.
func (h *holderClient) unresponsive(dataCentre string) bool {
	address, err := h.address(dataCentre)
	return err != nil || h.monitor.Suspected(address)
}
