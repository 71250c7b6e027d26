package account

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// reserveTimeout is the timeout of a reserve request to one holder,
	// including that holder's own requests to others and to the platform.
	reserveTimeout = 1300 * time.Millisecond
	// settleTimeout, settleAttempts and settleRetryInterval limit the attempts
	// to deliver a settlement.
	settleTimeout       = 500 * time.Millisecond
	settleAttempts      = 8
	settleRetryInterval = 300 * time.Millisecond
	// maxUndecidedHolders is the number of undecided replies after which a call
	// is refused.
	maxUndecidedHolders = 2
	// unreachableRetryAfter is the minimum Retry-After if no holder replies.
	unreachableRetryAfter = 250 * time.Millisecond
)

// ClientDependencies are the dependencies of a Client.
type ClientDependencies struct {
	DataCentre  string
	DataCentres []string
	Config      hawthornrail.Configuration
	Invoker     peer.Invoker
	Clock       hawthornrail.Clock
	Log         events.Logger
}

// Client reserves tokens at the holders; it implements hawthornrail.Accounts.
type Client struct {
	deps    ClientDependencies
	holders *holderClient

	mu sync.Mutex
	// contacted lists the data centres to which each call's reserve request was
	// sent; the last one decided if any did.
	contacted map[string][]string
}

// NewClient returns a client that prefers the holder of its own data centre.
func NewClient(deps ClientDependencies) *Client {
	return &Client{
		deps: deps, holders: newHolderClient(deps.Config, deps.Invoker, deps.Clock, deps.Log), contacted: make(map[string][]string),
	}
}

// Reserve sends the reservation to one holder after another until one decides.
func (c *Client) Reserve(ctx context.Context, program, call string, budget, tokens uint64) (first bool, err error) {
	m := &vmpb.AccountReserve{Program: program, Call: call, Budget: budget, Tokens: tokens}
	reply, err := c.firstDecision(ctx, m)
	if err == nil && reply.GetGranted() {
		return reply.GetFirst(), nil
	}
	c.Settle(program, call, 0)
	if err == nil {
		return false, hawthornrail.NotRun(hawthornrail.CodeBudget, "program %s has %d of its tokens left, the call may need %d", program, reply.GetLeft(), tokens)
	}
	f := hawthornrail.NotRun(hawthornrail.CodeAccountUnreachable, "no holder can answer for program %s: %w", program, err)
	return false, f.WithRetryAfter(unreachableRetryAfter + rand.N(unreachableRetryAfter))
}

// firstDecision returns the first decisive reply. An undecided holder has
// already contacted the others itself, so at most maxUndecidedHolders are tried,
// the program's home next.
func (c *Client) firstDecision(ctx context.Context, m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, error) {
	var lastErr error
	undecided := 0
	for remaining := c.contactOrder(); len(remaining) > 0 && undecided < maxUndecidedHolders && ctx.Err() == nil; {
		dc := remaining[0]
		remaining = remaining[1:]
		if lastErr != nil && c.holders.unresponsive(dc) {
			continue
		}
		reply, err := c.requestReservation(ctx, dc, m)
		if err == nil && !reply.GetUncertain() {
			return reply, nil
		}
		lastErr = err
		if err == nil {
			lastErr = errUncertain
			remaining = moveToFront(remaining, reply.GetHomeDataCentre())
		}
		if err == nil || errors.Is(err, peer.ErrDeclined) {
			undecided++
		}
	}
	if lastErr == nil {
		lastErr = errors.Join(errNoHolder, ctx.Err())
	}
	return nil, lastErr
}

// moveToFront moves a value to the front of a list if the list contains it.
func moveToFront(values []string, value string) []string {
	i := slices.Index(values, value)
	if i < 0 {
		return values
	}
	return slices.Insert(slices.Delete(values, i, i+1), 0, value)
}

var errUncertain = errors.New("other holders do not answer, or tokens that no call has used are in no account")

// contactOrder returns the data centres, the own one first and those whose
// holders are unresponsive last.
func (c *Client) contactOrder() []string {
	responsive, suspected := make([]string, 0, len(c.deps.DataCentres)), []string(nil)
	start := max(0, slices.Index(c.deps.DataCentres, c.deps.DataCentre))
	for i := range c.deps.DataCentres {
		dc := c.deps.DataCentres[(start+i)%len(c.deps.DataCentres)]
		if c.holders.unresponsive(dc) {
			suspected = append(suspected, dc)
			continue
		}
		responsive = append(responsive, dc)
	}
	return append(responsive, suspected...)
}

func (c *Client) requestReservation(ctx context.Context, dataCentre string, m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, error) {
	// A holder without a known address receives no request, so there is nothing
	// to settle with it.
	if _, err := c.holders.address(dataCentre); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.contacted[m.GetCall()] = append(c.contacted[m.GetCall()], dataCentre)
	c.mu.Unlock()
	var reply vmpb.AccountReserveReply
	open := &vmpb.Open{Kind: &vmpb.Open_AccountReserve{AccountReserve: m}}
	return &reply, c.holders.request(ctx, reserveTimeout, dataCentre, open, &reply)
}

// Settle reports the tokens that a call has used to the holder that decided, and
// 0 to every other holder that received the reserve request.
func (c *Client) Settle(program, call string, used uint64) {
	c.mu.Lock()
	contacted := c.contacted[call]
	delete(c.contacted, call)
	c.mu.Unlock()
	for i, dc := range contacted {
		amount := used
		if i < len(contacted)-1 {
			amount = 0
		}
		go c.settle(dc, &vmpb.AccountSettle{Program: program, Call: call, Used: amount})
	}
}

func (c *Client) settle(dataCentre string, m *vmpb.AccountSettle) {
	open := &vmpb.Open{Kind: &vmpb.Open_AccountSettle{AccountSettle: m}}
	var lastErr error
	for range settleAttempts {
		address, err := c.holders.address(dataCentre)
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			_, lastErr = c.deps.Invoker.Invoke(ctx, address, open, &vmpb.AccountSettleReply{})
			cancel()
			if lastErr == nil {
				return
			}
		}
		c.deps.Clock.Sleep(settleRetryInterval)
	}
	c.deps.Log.Event(events.SettlementUndelivered).Str("program", m.GetProgram()).Str("request", m.GetCall()).
		Str("data_centre", dataCentre).Uint64("used", m.GetUsed()).Err(lastErr).Emit()
}
