package account

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// recoverRetryInterval is the time between two attempts to recover lost
	// programs.
	recoverRetryInterval = 300 * time.Millisecond
	syncTimeout          = time.Second
	// syncPageSize is the maximum number of programs in one sync reply.
	syncPageSize = 1000
)

// errTakeoverBegun means that programs were listed which are not all, since this VM has
// begun to take over meanwhile.
var errTakeoverBegun = errors.New("a takeover has begun")

// Complete reports whether the holder has an account for every program that was
// announced to all holders. That is known only while it holds its role: what is announced
// to another VM in its place, it does not learn.
func (h *Holder) Complete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.completeLocked()
}

func (h *Holder) completeLocked() bool { return h.balances.Complete() && h.deps.HoldsRole() }

// BeginTakeover records, before this VM takes the role of another one, that programs may
// have been announced to that one only. Recover lists them.
func (h *Holder) BeginTakeover() error {
	return h.commitDecision(func() *vmpb.AccountRecord {
		h.takeovers++
		if !h.balances.Complete() {
			return nil
		}
		return originRecord(h.id, false)
	})
}

// mustRecover reports whether the programs have to be listed, and how many takeovers have
// begun.
func (h *Holder) mustRecover() (must bool, takeovers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.balances.Complete(), h.takeovers
}

// Recover restores the list of programs with an account after the loss of a
// disk or a takeover, from the other holders, of which one must be complete, and from the
// claims at the platform. It returns when they are listed, when a takeover begins, since it
// could miss what is announced until then, or when ctx is done.
func (h *Holder) Recover(ctx context.Context) {
	h.recovering.Lock()
	defer h.recovering.Unlock()
	_, begun := h.mustRecover()
	for ctx.Err() == nil {
		must, takeovers := h.mustRecover()
		if !must || takeovers != begun {
			return
		}
		err := h.recoverPrograms(ctx, begun)
		if err == nil {
			h.deps.Log.Event(events.AccountsRecovered).Int("programs", h.programCount()).Emit()
			return
		}
		h.deps.Log.Event(events.RecoverFailed).Err(err).Emit()
		clock.Wait(ctx, h.deps.Clock, recoverRetryInterval)
	}
}

func (h *Holder) programCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.balances.ProgramCount()
}

func (h *Holder) recoverPrograms(ctx context.Context, takeovers int) error {
	if err := h.syncFromOthers(ctx); err != nil {
		return err
	}
	claims, err := h.deps.ClaimList.ClaimOwners(ctx)
	if err != nil {
		return fmt.Errorf("list claims: %w", err)
	}
	for program, owner := range claims {
		if err := h.addProgram(&vmpb.AccountOpened{Program: program, Home: owner}); err != nil {
			return err
		}
	}
	err = h.commitDecision(func() *vmpb.AccountRecord {
		if h.takeovers != takeovers {
			return nil
		}
		return originRecord(h.id, true)
	})
	if must, _ := h.mustRecover(); err == nil && must {
		return errTakeoverBegun
	}
	return err
}

// syncFromOthers syncs from all other holders concurrently, since some may be
// unreachable, and fails if none of them is complete.
func (h *Holder) syncFromOthers(ctx context.Context) error {
	type result struct {
		complete bool
		err      error
	}
	others := h.otherDataCentres()
	results := make(chan result, len(others))
	for _, dc := range others {
		go func() {
			complete, err := h.syncFrom(ctx, dc)
			results <- result{complete, err}
		}()
	}
	complete := false
	var lastErr error
	for range others {
		r := <-results
		complete = complete || r.complete
		if r.err != nil {
			lastErr = r.err
		}
	}
	if !complete {
		return fmt.Errorf("no complete holder replies: %w", lastErr)
	}
	return nil
}

// syncFrom adds the programs of another holder and reports whether that holder
// is complete.
func (h *Holder) syncFrom(ctx context.Context, dataCentre string) (bool, error) {
	after := ""
	for {
		var reply vmpb.AccountSyncReply
		if err := h.requestSync(ctx, dataCentre, after, &reply); err != nil {
			return false, err
		}
		for _, p := range reply.GetPrograms() {
			if err := h.addProgram(p); err != nil {
				return false, err
			}
			after = p.GetProgram()
		}
		if !reply.GetMore() {
			return reply.GetWhole(), nil
		}
	}
}

func (h *Holder) requestSync(ctx context.Context, dataCentre, after string, reply *vmpb.AccountSyncReply) error {
	open := &vmpb.Open{Kind: &vmpb.Open_AccountSync{AccountSync: &vmpb.AccountSync{After: after}}}
	return h.holders.request(ctx, syncTimeout, dataCentre, open, reply)
}

// addProgram opens an account without a share for a program whose home is
// another holder.
func (h *Holder) addProgram(p *vmpb.AccountOpened) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.balances.Home(p.GetProgram()); known {
		return nil
	}
	_, err := h.append(h.balances.Open(p.GetProgram(), p.GetBudget(), 0, p.GetHome()))
	return err
}

// Sync returns a page of the programs that have an account at this holder.
func (h *Holder) Sync(m *vmpb.AccountSync) *vmpb.AccountSyncReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	programs, more := h.balances.ListPrograms(m.GetAfter(), syncPageSize)
	return &vmpb.AccountSyncReply{Whole: h.completeLocked(), Programs: programs, More: more}
}
