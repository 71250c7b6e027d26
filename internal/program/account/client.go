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
	// reserveTimeout bounds how long one holder is waited for; it covers what
	// the holder may need from others and from the platform.
	reserveTimeout = 1300 * time.Millisecond
	// settleTimeout and settleTries bound how a settlement is repeated.
	settleTimeout = 500 * time.Millisecond
	settleTries   = 8
	settlePause   = 300 * time.Millisecond
	// maxUndecided is how many holders that can't decide are asked for one call.
	maxUndecided = 2
	// unreachedRetryAfter is when to come back if no holder answers.
	unreachedRetryAfter = 250 * time.Millisecond
)

// ClientParts are what a Client works with.
type ClientParts struct {
	DataCentre  string
	DataCentres []string
	Config      hawthornrail.Configuration
	Asker       peer.Asker
	Clock       hawthornrail.Clock
	Log         events.Logger
}

// Client reserves tokens at the holders; it implements hawthornrail.Accounts.
type Client struct {
	parts   ClientParts
	holders *holders

	mu    sync.Mutex
	calls map[string][]string
}

// NewClient returns a client that asks the holder of its own data centre first.
func NewClient(parts ClientParts) *Client {
	return &Client{
		parts: parts, holders: newHolders(parts.Config, parts.Asker, parts.Clock, parts.Log), calls: make(map[string][]string),
	}
}

// Reserve asks holders in turn until one decides.
func (c *Client) Reserve(ctx context.Context, program, call string, budget, tokens uint64) (first bool, err error) {
	m := &vmpb.AccountReserve{Program: program, Call: call, Budget: budget, Tokens: tokens}
	reply, err := c.decide(ctx, m)
	if err == nil && reply.GetGranted() {
		return reply.GetFirst(), nil
	}
	c.Settle(program, call, 0)
	if err == nil {
		return false, hawthornrail.NotRun(hawthornrail.CodeBudget, "program %s has %d of its tokens left, the call may need %d", program, reply.GetLeft(), tokens)
	}
	f := hawthornrail.NotRun(hawthornrail.CodeAccountUnreached, "no holder can answer for program %s: %w", program, err)
	return false, f.WithRetryAfter(unreachedRetryAfter + rand.N(unreachedRetryAfter))
}

// decide returns the first answer that decides. A holder that can't has asked
// the others itself, so few are asked after it, the program's home first.
func (c *Client) decide(ctx context.Context, m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, error) {
	var last error
	undecided := 0
	for order := c.order(); len(order) > 0 && undecided < maxUndecided && ctx.Err() == nil; {
		dc := order[0]
		order = order[1:]
		if last != nil && c.holders.silent(dc) {
			continue
		}
		reply, err := c.ask(ctx, dc, m)
		if err == nil && !reply.GetUncertain() {
			return reply, nil
		}
		last = err
		if err == nil {
			last = errUncertain
			order = putFirst(order, reply.GetHomeDataCentre())
		}
		if err == nil || errors.Is(err, peer.ErrDeclined) {
			undecided++
		}
	}
	if last == nil {
		last = errors.Join(errNoHolder, ctx.Err())
	}
	return nil, last
}

// putFirst moves a value to the front of a list that has it.
func putFirst(list []string, value string) []string {
	i := slices.Index(list, value)
	if i < 0 {
		return list
	}
	return slices.Insert(slices.Delete(list, i, i+1), 0, value)
}

var errUncertain = errors.New("other holders do not answer")

// order returns the data centres, the own one first, and those whose holders
// did not answer lately last.
func (c *Client) order() []string {
	up, down := make([]string, 0, len(c.parts.DataCentres)), []string(nil)
	start := max(0, slices.Index(c.parts.DataCentres, c.parts.DataCentre))
	for i := range c.parts.DataCentres {
		dc := c.parts.DataCentres[(start+i)%len(c.parts.DataCentres)]
		if c.holders.silent(dc) {
			down = append(down, dc)
			continue
		}
		up = append(up, dc)
	}
	return append(up, down...)
}

func (c *Client) ask(ctx context.Context, dataCentre string, m *vmpb.AccountReserve) (*vmpb.AccountReserveReply, error) {
	// A holder that is not known is not asked, so it has nothing to settle.
	if _, err := c.holders.address(dataCentre); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.calls[m.GetCall()] = append(c.calls[m.GetCall()], dataCentre)
	c.mu.Unlock()
	var reply vmpb.AccountReserveReply
	open := &vmpb.Open{Kind: &vmpb.Open_AccountReserve{AccountReserve: m}}
	return &reply, c.holders.ask(ctx, reserveTimeout, dataCentre, open, &reply)
}

// Settle tells the holder that decided what a call has used, and every other
// holder that was asked that it has used nothing there.
func (c *Client) Settle(program, call string, used uint64) {
	c.mu.Lock()
	asked := c.calls[call]
	delete(c.calls, call)
	c.mu.Unlock()
	for i, dc := range asked {
		amount := used
		if i < len(asked)-1 {
			amount = 0
		}
		go c.settle(dc, &vmpb.AccountSettle{Program: program, Call: call, Used: amount})
	}
}

func (c *Client) settle(dataCentre string, m *vmpb.AccountSettle) {
	open := &vmpb.Open{Kind: &vmpb.Open_AccountSettle{AccountSettle: m}}
	var last error
	for range settleTries {
		address, err := c.holders.address(dataCentre)
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			_, last = c.parts.Asker.Ask(ctx, address, open, &vmpb.AccountSettleReply{})
			cancel()
			if last == nil {
				return
			}
		}
		c.parts.Clock.Sleep(settlePause)
	}
	c.parts.Log.Event(events.SettleLost).Str("program", m.GetProgram()).Str("request", m.GetCall()).
		Str("data_centre", dataCentre).Uint64("used", m.GetUsed()).Err(last).Emit()
}
