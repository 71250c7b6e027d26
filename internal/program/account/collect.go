package account

import (
	"context"
	"errors"
	"time"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// transferTimeout bounds how long another holder is waited for.
const transferTimeout = 150 * time.Millisecond

var errUnsettled = errors.New("program has no account at the holder")

// collected is what came of asking other holders for tokens.
type collected struct {
	tokens uint64
	// answered says that all of them answered.
	answered bool
}

// collect asks the other holders for tokens and reports whether all that were
// asked answered. The home is asked first: it mostly has all that is left.
func (h *Holder) collect(ctx context.Context, m *vmpb.AccountReserve, missing uint64, home string) (bool, error) {
	first, rest := h.homeFirst(home)
	got, err := h.collectFrom(ctx, m, missing, first)
	if err != nil || got.tokens >= missing {
		return got.answered, err
	}
	more, err := h.collectFrom(ctx, m, missing-got.tokens, rest)
	return got.answered && more.answered, err
}

// homeFirst splits the other data centres into the home's, if its holder is
// not suspected to be down, and the rest.
func (h *Holder) homeFirst(home string) (first, rest []string) {
	for _, dc := range h.others() {
		if dc == home && !h.holders.silent(dc) {
			first = append(first, dc)
			continue
		}
		rest = append(rest, dc)
	}
	return first, rest
}

// collectFrom asks several holders at once; an error means that what they gave
// could not be recorded.
func (h *Holder) collectFrom(ctx context.Context, m *vmpb.AccountReserve, wanted uint64, dataCentres []string) (collected, error) {
	type result struct {
		moved uint64
		err   error
	}
	results := make(chan result, len(dataCentres))
	for _, dc := range dataCentres {
		go func() {
			moved, err := h.transferFrom(ctx, dc, m, wanted)
			results <- result{moved, err}
		}()
	}
	got := collected{answered: true}
	for range dataCentres {
		r := <-results
		if r.err != nil {
			got.answered = false
			continue
		}
		if r.moved == 0 {
			continue
		}
		if err := h.record(h.book.Receive(m.GetProgram(), r.moved)); err != nil {
			return got, err
		}
		got.tokens += r.moved
	}
	return got, nil
}

// transferFrom asks one holder for tokens of a program.
func (h *Holder) transferFrom(ctx context.Context, dataCentre string, m *vmpb.AccountReserve, wanted uint64) (uint64, error) {
	if h.holders.silent(dataCentre) {
		return 0, errSuspected
	}
	ask := &vmpb.AccountTransfer{Program: m.GetProgram(), Budget: m.GetBudget(), Wanted: wanted}
	var reply vmpb.AccountTransferReply
	err := h.holders.ask(ctx, transferTimeout, dataCentre, &vmpb.Open{Kind: &vmpb.Open_AccountTransfer{AccountTransfer: ask}}, &reply)
	if err != nil {
		return 0, err
	}
	if !reply.GetKnown() {
		// The program may be about to get its budget there.
		return 0, errUnsettled
	}
	return reply.GetMoved(), nil
}
