package account

import (
	"context"

	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func (h *Holder) granted(program string, done chan struct{}) {
	h.mu.Lock()
	delete(h.granting, program)
	h.mu.Unlock()
	close(done)
}

// awaitGrants waits until no part of a program's budget is on its way from
// here, so that the holders together know where all of it is.
func (h *Holder) awaitGrants(ctx context.Context, program string) {
	h.mu.Lock()
	granting := h.granting[program]
	h.mu.Unlock()
	if granting == nil {
		return
	}
	select {
	case <-granting:
	case <-ctx.Done():
	}
}

// grantParts gives the other holders their parts of a budget; what does not
// arrive is lost to the program.
func (h *Holder) grantParts(program string, budget, call uint64) {
	others := h.others()
	for i, part := range Parts(budget, call, len(others)) {
		if part > 0 && !h.holders.silent(others[i]) {
			h.grant(others[i], program, part)
		}
	}
}

func (h *Holder) grant(dataCentre, program string, part uint64) {
	var tokens uint64
	err := h.decide(func() (record *vmpb.AccountRecord) {
		record, tokens = h.book.GivePart(program, part)
		return record
	})
	if err != nil {
		h.parts.Log.Event(events.AccountFailed).Str("program", program).Err(err).Emit()
		return
	}
	if tokens == 0 {
		return
	}
	open := &vmpb.Open{Kind: &vmpb.Open_AccountGrant{AccountGrant: &vmpb.AccountGrant{Program: program, Tokens: tokens}}}
	if err := h.holders.ask(context.Background(), announceTimeout, dataCentre, open, &vmpb.AccountGrantReply{}); err != nil {
		h.parts.Log.Event(events.GrantLost).Str("program", program).Uint64("tokens", tokens).Err(err).Emit()
	}
}

// Granted takes the part of a program's budget that its home gives.
func (h *Holder) Granted(m *vmpb.AccountGrant) error {
	return h.decide(func() *vmpb.AccountRecord { return h.book.Accept(m.GetProgram(), m.GetTokens()) })
}
