package account

import (
	"context"
	"slices"

	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// startGrants sends the grants of a budget in the background. A budget without
// grants is not marked as having any in flight, because other holders could not
// request its tokens meanwhile.
func (h *Holder) startGrants(program string, budget, callTokens uint64) {
	sizes := GrantSizes(budget, callTokens, len(h.otherDataCentres()))
	if !slices.ContainsFunc(sizes, func(tokens uint64) bool { return tokens > 0 }) {
		return
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.pendingGrants[program] = done
	h.mu.Unlock()
	go func() {
		defer h.finish(h.pendingGrants, program, done)
		h.sendGrants(program, sizes)
	}()
}

// awaitGrants waits until this holder has no grants of a program in flight.
// Tokens in flight are in no holder's account, so replies of the other holders
// would not add up to the budget.
func (h *Holder) awaitGrants(ctx context.Context, program string) {
	h.mu.Lock()
	pending := h.pendingGrants[program]
	h.mu.Unlock()
	if pending == nil {
		return
	}
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

// sendGrants sends the other holders their grants of a budget. A grant that does
// not arrive is lost to the program.
func (h *Holder) sendGrants(program string, sizes []uint64) {
	others := h.otherDataCentres()
	for i, tokens := range sizes {
		if tokens > 0 && !h.holders.unresponsive(others[i]) {
			h.sendGrant(others[i], program, tokens)
		}
	}
}

func (h *Holder) sendGrant(dataCentre, program string, grant uint64) {
	var tokens uint64
	err := h.commitDecision(func() (record *vmpb.AccountRecord) {
		record, tokens = h.balances.Grant(program, grant)
		return record
	})
	if err != nil {
		h.deps.Log.Event(events.AccountFailed).Str("program", program).Err(err).Emit()
		return
	}
	if tokens == 0 {
		return
	}
	open := &vmpb.Open{Kind: &vmpb.Open_AccountGrant{AccountGrant: &vmpb.AccountGrant{Program: program, Tokens: tokens}}}
	if err := h.holders.request(context.Background(), announceTimeout, dataCentre, open, &vmpb.AccountGrantReply{}); err != nil {
		h.deps.Log.Event(events.GrantUndelivered).Str("program", program).Uint64("tokens", tokens).Err(err).Emit()
	}
}

// HandleGrant adds the grant of a program's home to the program's account.
func (h *Holder) HandleGrant(m *vmpb.AccountGrant) error {
	return h.commitDecision(func() *vmpb.AccountRecord { return h.balances.AcceptGrant(m.GetProgram(), m.GetTokens()) })
}
