package account

import (
	"context"
	"fmt"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// recoverPause is the time between two tries to learn what was lost.
	recoverPause = 300 * time.Millisecond
	syncTimeout  = time.Second
	// syncPrograms is the most programs in one answer.
	syncPrograms = 1000
)

// Whole reports whether the holder knows every program that all holders were
// told of.
func (h *Holder) Whole() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.book.Whole()
}

// Recover learns after the loss of a disk which programs have an account
// already: from a whole holder and from the platform. It ends when the holder
// is whole or ctx ends.
func (h *Holder) Recover(ctx context.Context) {
	for ctx.Err() == nil && !h.Whole() {
		err := h.learn(ctx)
		if err == nil {
			h.parts.Log.Event(events.AccountsRecovered).Int("programs", h.programs()).Emit()
			return
		}
		h.parts.Log.Event(events.RecoverFailed).Err(err).Emit()
		clock.Wait(ctx, h.parts.Clock, recoverPause)
	}
}

func (h *Holder) programs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.book.Programs()
}

func (h *Holder) learn(ctx context.Context) error {
	if err := h.learnFromOthers(ctx); err != nil {
		return err
	}
	claims, err := h.parts.Claimed.Claimed(ctx)
	if err != nil {
		return fmt.Errorf("list claims: %w", err)
	}
	for program, owner := range claims {
		if err := h.know(&vmpb.AccountOpened{Program: program, Home: owner}); err != nil {
			return err
		}
	}
	return h.record(originRecord(h.id, true))
}

// learnFromOthers asks all other holders at once, since some may be away, and
// fails if none of them is whole.
func (h *Holder) learnFromOthers(ctx context.Context) error {
	type result struct {
		whole bool
		err   error
	}
	others := h.others()
	results := make(chan result, len(others))
	for _, dc := range others {
		go func() {
			whole, err := h.learnFrom(ctx, dc)
			results <- result{whole, err}
		}()
	}
	whole := false
	var last error
	for range others {
		r := <-results
		whole = whole || r.whole
		if r.err != nil {
			last = r.err
		}
	}
	if !whole {
		return fmt.Errorf("no whole holder answers: %w", last)
	}
	return nil
}

// learnFrom takes the programs that another holder knows and reports whether
// it is whole.
func (h *Holder) learnFrom(ctx context.Context, dataCentre string) (bool, error) {
	after := ""
	for {
		var reply vmpb.AccountSyncReply
		if err := h.sync(ctx, dataCentre, after, &reply); err != nil {
			return false, err
		}
		for _, p := range reply.GetPrograms() {
			if err := h.know(p); err != nil {
				return false, err
			}
			after = p.GetProgram()
		}
		if !reply.GetMore() {
			return reply.GetWhole(), nil
		}
	}
}

func (h *Holder) sync(ctx context.Context, dataCentre, after string, reply *vmpb.AccountSyncReply) error {
	open := &vmpb.Open{Kind: &vmpb.Open_AccountSync{AccountSync: &vmpb.AccountSync{After: after}}}
	return h.holders.ask(ctx, syncTimeout, dataCentre, open, reply)
}

// know opens an account without a share for a program that has its home
// elsewhere.
func (h *Holder) know(p *vmpb.AccountOpened) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.book.Home(p.GetProgram()); known {
		return nil
	}
	_, err := h.append(h.book.Open(p.GetProgram(), p.GetBudget(), 0, p.GetHome()))
	return err
}

// Sync answers what programs the holder knows.
func (h *Holder) Sync(m *vmpb.AccountSync) *vmpb.AccountSyncReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, more := h.book.Known(m.GetAfter(), syncPrograms)
	return &vmpb.AccountSyncReply{Whole: h.book.Whole(), Programs: list, More: more}
}
