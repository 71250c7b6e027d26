package account

import (
	"context"
	"errors"
	"time"

	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// transferTimeout is the timeout of a transfer request to another holder.
const transferTimeout = 150 * time.Millisecond

var errNoAccount = errors.New("program has no account at the holder")

// collectResult is the result of requesting tokens from other holders.
type collectResult struct {
	tokens uint64
	// allReplied is false if a holder did not reply or had no account.
	allReplied bool
}

// collect requests tokens from the other holders and reports whether all
// contacted holders replied. The home comes first, since it usually has all
// remaining tokens.
func (h *Holder) collect(ctx context.Context, m *vmpb.AccountReserve, missing uint64, home string) (bool, error) {
	homeHolder, otherHolders := h.splitByHome(home)
	fromHome, err := h.collectFrom(ctx, m, missing, homeHolder)
	if err != nil || fromHome.tokens >= missing {
		return fromHome.allReplied, err
	}
	fromOthers, err := h.collectFrom(ctx, m, missing-fromHome.tokens, otherHolders)
	return fromHome.allReplied && fromOthers.allReplied, err
}

// splitByHome splits the other data centres into the home's, if its holder is
// responsive, and the rest.
func (h *Holder) splitByHome(home string) (homeHolder, otherHolders []string) {
	for _, dc := range h.otherDataCentres() {
		if dc == home && !h.holders.unresponsive(dc) {
			homeHolder = append(homeHolder, dc)
			continue
		}
		otherHolders = append(otherHolders, dc)
	}
	return homeHolder, otherHolders
}

// collectFrom requests tokens from several holders concurrently. An error means
// that the received tokens could not be recorded.
func (h *Holder) collectFrom(ctx context.Context, m *vmpb.AccountReserve, wanted uint64, dataCentres []string) (collectResult, error) {
	type result struct {
		tokens uint64
		err    error
	}
	results := make(chan result, len(dataCentres))
	for _, dc := range dataCentres {
		go func() {
			tokens, err := h.transferFrom(ctx, dc, m, wanted)
			results <- result{tokens, err}
		}()
	}
	total := collectResult{allReplied: true}
	for range dataCentres {
		r := <-results
		if r.err != nil {
			total.allReplied = false
			continue
		}
		if r.tokens == 0 {
			continue
		}
		if err := h.commit(h.balances.TransferIn(m.GetProgram(), r.tokens)); err != nil {
			return total, err
		}
		total.tokens += r.tokens
	}
	return total, nil
}

// transferFrom requests tokens of a program from one holder.
func (h *Holder) transferFrom(ctx context.Context, dataCentre string, m *vmpb.AccountReserve, wanted uint64) (uint64, error) {
	if h.holders.unresponsive(dataCentre) {
		return 0, errSuspected
	}
	transfer := &vmpb.AccountTransfer{Program: m.GetProgram(), Budget: m.GetBudget(), Wanted: wanted}
	var reply vmpb.AccountTransferReply
	err := h.holders.request(ctx, transferTimeout, dataCentre, &vmpb.Open{Kind: &vmpb.Open_AccountTransfer{AccountTransfer: transfer}}, &reply)
	if err != nil {
		return 0, err
	}
	if !reply.GetKnown() {
		// The holder may be about to become the program's home.
		return 0, errNoAccount
	}
	return reply.GetMoved(), nil
}
