package detour

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/reach"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// askedVMs is how many VMs are asked at once whether they reach a service, and
	// maxRounds how many such groups.
	askedVMs  = 6
	maxRounds = 2
	// askTimeout bounds the wait for their replies; one that has to connect to an
	// endpoint first replies within it.
	askTimeout = 150 * time.Millisecond
	// laterReplies is how long further replies are waited for after the first VM that
	// reaches the service.
	laterReplies = 20 * time.Millisecond
)

// Peers sends requests to other VMs; peer.Client implements it.
type Peers interface {
	peer.Invoker
	Open(ctx context.Context, address string, open *vmpb.Open) (*peer.Exchange, error)
}

// ClientDependencies are the dependencies of a Client.
type ClientDependencies struct {
	// VM is the name of this VM.
	VM         string
	DataCentre string
	Config     hawthornrail.Configuration
	Peers      Peers
	Clock      hawthornrail.Clock
}

// Client finds the VMs that reach a service and sends requests through them; it
// implements hawthornrail.Detour.
type Client struct {
	deps ClientDependencies

	mu      sync.Mutex
	helpers map[string]*helperState
}

// NewClient returns a client with the given dependencies.
func NewClient(deps ClientDependencies) *Client {
	return &Client{deps: deps, helpers: make(map[string]*helperState)}
}

// reachReply is the reply of a VM that was asked whether it reaches a service; known is
// false if none came.
type reachReply struct {
	vm      hawthornrail.VM
	known   bool
	reached bool
	busy    bool
}

var errSilent = errors.New("does not reply")

// Find asks a few VMs of this data centre and of the others whether they reach
// endpoints of a service, and some more if none does.
func (c *Client) Find(ctx context.Context, service string, within time.Duration) (helpers []hawthornrail.VM, denials int) {
	remaining := c.candidates()
	for range maxRounds {
		asked := reach.Sample(remaining, c.deps.DataCentre, askedVMs, rand.Shuffle)
		found, denied := c.ask(ctx, asked, service, within)
		helpers, denials = append(helpers, found...), denials+denied
		if len(helpers) > 0 || len(asked) == len(remaining) {
			break
		}
		remaining = slices.DeleteFunc(remaining, func(v hawthornrail.VM) bool { return slices.Contains(asked, v) })
	}
	return helpers, denials
}

// ask asks VMs at once.
func (c *Client) ask(ctx context.Context, vms []hawthornrail.VM, service string, within time.Duration) (helpers []hawthornrail.VM, denials int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan reachReply, len(vms))
	for _, vm := range vms {
		go func() { replies <- c.askOne(ctx, vm, service, within) }()
	}
	var enough <-chan time.Time
	for range vms {
		select {
		case r := <-replies:
			switch {
			case r.known && r.reached && !r.busy:
				helpers = append(helpers, r.vm)
			case r.known && !r.busy:
				denials++
			}
		case <-enough:
			return helpers, denials
		}
		if enough == nil && len(helpers) > 0 {
			enough = c.deps.Clock.After(laterReplies)
		}
	}
	return helpers, denials
}

func (c *Client) askOne(ctx context.Context, vm hawthornrail.VM, service string, within time.Duration) reachReply {
	open := &vmpb.Open{Kind: &vmpb.Open_ReachAsk{ReachAsk: &vmpb.ReachAsk{Service: service, WithinMs: uint32(within.Milliseconds())}}}
	var reply vmpb.ReachReply
	if _, err := c.deps.Peers.Invoke(ctx, vm.Address(), open, &reply); err != nil {
		// Other VMs are asked at the same time.
		return reachReply{vm: vm}
	}
	c.state(vm.Name()).recordHeard(c.deps.Clock.Now())
	return reachReply{vm: vm, known: true, reached: reply.GetReached(), busy: reply.GetBusy()}
}

// candidates returns the other entry VMs that are not draining.
func (c *Client) candidates() []hawthornrail.VM {
	return slices.DeleteFunc(c.deps.Config.Snapshot().EntryVMs(), func(v hawthornrail.VM) bool {
		return v.Name() == c.deps.VM || v.Draining()
	})
}

// Open sends a request through a VM.
func (c *Client) Open(ctx context.Context, helper hawthornrail.VM, service string, r *hawthornrail.ForwardRequest, p *hawthornrail.ForwardProgress) (hawthornrail.DetourResponse, error) {
	if c.state(helper.Name()).isSilent() {
		return nil, refused(fmt.Errorf("VM %s: %w", helper.Name(), errSilent))
	}
	left := time.Duration(0)
	if !r.Deadline().IsZero() {
		left = max(time.Millisecond, r.Deadline().Sub(c.deps.Clock.Now()))
	}
	open := &vmpb.Open{Kind: &vmpb.Open_Detour{Detour: requestToWire(r, service, left, p)}}
	exchange, err := c.deps.Peers.Open(ctx, helper.Address(), open)
	if errors.Is(err, peer.ErrUnsent) {
		// Its connection may have broken unnoticed; the next attempt opens another one.
		exchange, err = c.deps.Peers.Open(ctx, helper.Address(), open)
	}
	if errors.Is(err, peer.ErrUnsent) {
		return nil, refused(fmt.Errorf("VM %s: %w", helper.Name(), err))
	}
	if err != nil {
		return nil, lost(helper, err, p)
	}
	response := c.newResponse(exchange, helper, r, p)
	if err := response.receiveHead(); err != nil {
		response.Close()
		return nil, err
	}
	return response, nil
}

// failureOf returns the failure that ends a request.
func failureOf(end *vmpb.DetourEnd, p *hawthornrail.ForwardProgress) error {
	err := convert.EndFromWire(end.GetEnd())
	if end.GetRefused() && hawthornrail.VerdictOf(err) == hawthornrail.VerdictNotRun {
		return refused(err)
	}
	progressFromWire(end.GetProgress(), p)
	return err
}

// refused returns the failure of a request that a VM did not take.
func refused(err error) error {
	return hawthornrail.NewFailure(hawthornrail.CodeHelperRefused, hawthornrail.VerdictNotRun, fmt.Errorf("%w: %w", hawthornrail.ErrHelperRefused, err))
}

// lost returns the failure of a request of which a VM has told no end: an endpoint may
// have run it. It does not wrap err, since the end of a connection would be taken for
// that of the response.
func lost(helper hawthornrail.VM, err error, p *hawthornrail.ForwardProgress) error {
	p.SetMayHaveRun()
	p.AddUnknownRun()
	return hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.VerdictMayHaveRun, fmt.Errorf("%w: VM %s: %s", hawthornrail.ErrHelperLost, helper.Name(), err.Error()))
}
