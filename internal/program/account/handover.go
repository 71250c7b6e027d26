package account

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// handOverPage is the largest number of programs in one message.
	handOverPage = 200
	// handOverSends bounds how often a message without a reply is sent.
	handOverSends = 3
	// handOverInterval is the interval at which the holder looks whether calls have ended.
	handOverInterval = 100 * time.Millisecond
)

// errLeaving is returned for requests to a holder that hands over its tokens.
var errLeaving = errors.New("holder is about to exit")

// HandOver hands the tokens that no call has reserved over to other holders, before the
// process exits, and those of calls that end until ctx is done. The holder takes no further
// tokens and reserves none. Tokens are deducted before they are sent, so that a message that
// is lost loses them and duplicates none.
func (h *Holder) HandOver(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	for n := 0; ctx.Err() == nil; n++ {
		dataCentre, err := h.nextSuccessor(ctx, n)
		if errors.Is(err, peer.ErrDeclined) {
			return
		}
		if err != nil {
			clock.Wait(ctx, h.deps.Clock, handOverInterval)
			continue
		}
		programs, busy, err := h.deductSurplus()
		switch {
		case err != nil:
			h.deps.Log.Event(events.AccountFailed).Err(err).Emit()
			return
		case len(programs) > 0:
			h.sendHandOver(ctx, dataCentre, programs)
		case !busy || !clock.Wait(ctx, h.deps.Clock, handOverInterval):
			return
		}
	}
}

// nextSuccessor returns one of the data centres whose holders take tokens, in turn. It asks
// before any are deducted: what is sent to one that is gone is lost. The error is
// peer.ErrDeclined if all others decline.
func (h *Holder) nextSuccessor(ctx context.Context, n int) (dataCentre string, err error) {
	others := h.otherDataCentres()
	declined := 0
	for i := range others {
		dc := others[(n+i)%len(others)]
		err := h.requestHandOver(ctx, dc, &vmpb.AccountHandOver{})
		if err == nil {
			return dc, nil
		}
		if errors.Is(err, peer.ErrDeclined) {
			declined++
		}
	}
	if declined == len(others) {
		return "", peer.ErrDeclined
	}
	return "", errNoHolder
}

func (h *Holder) requestHandOver(ctx context.Context, dataCentre string, m *vmpb.AccountHandOver) error {
	open := &vmpb.Open{Kind: &vmpb.Open_AccountHandOver{AccountHandOver: m}}
	return h.holders.request(ctx, announceTimeout, dataCentre, open, &vmpb.AccountHandOverReply{})
}

// deductSurplus deducts tokens that no call has reserved and returns them once that is on
// disk. busy is set if calls, or tokens to or from other holders, are under way.
func (h *Holder) deductSurplus() (programs []*vmpb.AccountOpened, busy bool, err error) {
	h.mu.Lock()
	programs, reserved := h.balances.Surplus(handOverPage)
	busy = reserved || len(h.opening) > 0 || len(h.pendingGrants) > 0 || len(h.collections) > 0
	seq := uint64(0)
	for _, p := range programs {
		record, _ := h.balances.transferOut(p.GetProgram(), p.GetShare())
		if seq, err = h.append(record); err != nil {
			h.mu.Unlock()
			return nil, busy, err
		}
	}
	h.mu.Unlock()
	if len(programs) == 0 {
		return nil, busy, nil
	}
	return programs, busy, h.awaitSync(seq)
}

// sendHandOver sends programs to the holder of a data centre. It keeps them if that holder
// exits too and has not taken them.
func (h *Holder) sendHandOver(ctx context.Context, dataCentre string, programs []*vmpb.AccountOpened) {
	m := &vmpb.AccountHandOver{Id: rand.Text(), Programs: programs}
	var err error
	for range handOverSends {
		if err = h.requestHandOver(ctx, dataCentre, m); err == nil {
			h.deps.Log.Event(events.AccountsHandedOver).Str("data_centre", dataCentre).Int("programs", len(programs)).Emit()
			return
		}
		if errors.Is(err, peer.ErrDeclined) {
			h.takeBack(programs)
			break
		}
	}
	h.deps.Log.Event(events.HandOverFailed).Str("data_centre", dataCentre).Int("programs", len(programs)).Err(err).Emit()
}

func (h *Holder) takeBack(programs []*vmpb.AccountOpened) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range programs {
		if _, err := h.append(h.balances.TransferIn(p.GetProgram(), p.GetShare())); err != nil {
			h.deps.Log.Event(events.AccountFailed).Str("program", p.GetProgram()).Err(err).Emit()
			return
		}
	}
}

// HandleHandOver adds the tokens of another holder that exits. They are on disk before the
// reply is sent.
func (h *Holder) HandleHandOver(m *vmpb.AccountHandOver) error {
	if err := h.checkStaying(); err != nil {
		return err
	}
	if len(m.GetPrograms()) == 0 {
		// The other holder asks whether this one takes tokens.
		return nil
	}
	return h.commitDecision(func() *vmpb.AccountRecord { return h.balances.HandedOver(m) })
}

func (h *Holder) checkStaying() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return errLeaving
	}
	return nil
}
