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
	// quietTime is how long a holder may take to answer before it is asked
	// whether it is there at all.
	quietTime = 150 * time.Millisecond
	// probeTimeout bounds that question, which needs neither disk nor store.
	probeTimeout = 150 * time.Millisecond
)

var (
	errNoHolder  = errors.New("holder is not known")
	errSuspected = errors.New("holder did not answer lately")
)

// holders asks the holders of data centres and remembers which do not answer.
type holders struct {
	config   hawthornrail.Configuration
	asker    peer.Asker
	clock    hawthornrail.Clock
	log      events.Logger
	detector *detector.Detector
}

func newHolders(config hawthornrail.Configuration, asker peer.Asker, clock hawthornrail.Clock, log events.Logger) *holders {
	return &holders{config: config, asker: asker, clock: clock, log: log, detector: detector.New()}
}

// address returns the address of the holder of a data centre.
func (h *holders) address(dataCentre string) (string, error) {
	vm, ok := h.config.Snapshot().VM(dataCentre)
	if !ok || vm.Address() == "" {
		return "", fmt.Errorf("holder of %s: %w", dataCentre, errNoHolder)
	}
	return vm.Address(), nil
}

// ask asks the holder of a data centre; a holder that stays silent and does not
// answer a probe either is given up before the timeout.
func (h *holders) ask(ctx context.Context, timeout time.Duration, dataCentre string, open *vmpb.Open, reply proto.Message) error {
	address, err := h.address(dataCentre)
	if err != nil {
		return err
	}
	asking, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if timeout > quietTime+probeTimeout {
		go h.giveUpIfGone(asking, cancel, address)
	}
	asked := h.clock.Now()
	_, err = h.asker.Ask(asking, address, open, reply)
	if err == nil {
		h.answered(dataCentre, address, asked)
		return nil
	}
	if errors.Is(err, peer.ErrDeclined) {
		// It is there, it only can't decide.
		h.answered(dataCentre, address, asked)
		return fmt.Errorf("holder of %s: %w", dataCentre, err)
	}
	// An asker that leaves says nothing about the holder.
	if ctx.Err() == nil {
		h.missed(dataCentre, address, err)
	}
	return fmt.Errorf("holder of %s: %w", dataCentre, err)
}

// giveUpIfGone ends a question to a holder that also leaves a probe without an
// answer.
func (h *holders) giveUpIfGone(asking context.Context, giveUp context.CancelFunc, address string) {
	if clock.Wait(asking, h.clock, quietTime) && h.probe(asking, address) != nil {
		giveUp()
	}
}

func (h *holders) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return peer.Probe(ctx, h.asker, address)
}

func (h *holders) answered(dataCentre, address string, asked time.Time) {
	if h.detector.Answered(address, asked) {
		h.log.Event(events.HolderBack).Str("data_centre", dataCentre).Str("address", address).Emit()
	}
}

func (h *holders) missed(dataCentre, address string, err error) {
	if !h.detector.Missed(address, h.clock.Now()) {
		return
	}
	h.log.Event(events.HolderLost).Str("data_centre", dataCentre).Str("address", address).Err(err).Emit()
	go h.watch(dataCentre, address)
}

// watch probes a suspected holder until it is trusted again or another VM has
// taken its place.
func (h *holders) watch(dataCentre, address string) {
	for h.detector.Suspected(address) {
		h.clock.Sleep(h.detector.NextProbe(address))
		if current, err := h.address(dataCentre); err != nil || current != address {
			h.detector.Forget(address)
			return
		}
		asked := h.clock.Now()
		if h.probe(context.Background(), address) != nil {
			h.detector.Missed(address, h.clock.Now())
			continue
		}
		h.answered(dataCentre, address, asked)
	}
}

// silent reports whether a holder is suspected to be down or is not known.
func (h *holders) silent(dataCentre string) bool {
	address, err := h.address(dataCentre)
	return err != nil || h.detector.Suspected(address)
}
