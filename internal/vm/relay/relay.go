package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	// relayDelay is how long a reply is waited for before the request is sent
	// through another VM.
	relayDelay = 50 * time.Millisecond
	// directTimeout bounds the wait for a direct reply.
	directTimeout = 2 * time.Second
	// maxRelays bounds the VMs that one request is sent through.
	maxRelays = 2
	// relayTimeout bounds how long a relayed request may take.
	relayTimeout = 2 * time.Second
)

var errRelayFailed = errors.New("the VM in between got no answer")

// DirectClient sends requests to VMs without relays.
type DirectClient interface {
	InvokeEncoded(ctx context.Context, address string, open *vmpb.Open) ([]byte, hawthornrail.Instance, error)
	Self() hawthornrail.Instance
}

// Client sends requests to VMs directly and, when they don't reply, through
// relays. A request may arrive more than once.
type Client struct {
	direct DirectClient
	peers  func() []string
	clock  hawthornrail.Clock

	mu    sync.Mutex
	paths map[string]*directPath
}

// NewClient returns a client over direct connections; peers returns the
// addresses of the VMs that may serve as relays.
func NewClient(direct DirectClient, peers func() []string, clock hawthornrail.Clock) *Client {
	return &Client{direct: direct, peers: peers, clock: clock, paths: make(map[string]*directPath)}
}

// result is the reply or the error of one attempt.
type result struct {
	payload []byte
	from    hawthornrail.Instance
	err     error
	direct  bool
}

// Invoke returns the first reply that arrives, directly or through a relay; an
// error that wraps peer.ErrDeclined comes from the target VM itself.
func (c *Client) Invoke(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRequest(c, address, open)
	wait := r.sendDirect(ctx)
	var lastErr error
	for r.pending > 0 {
		select {
		case <-wait:
			r.relay(ctx)
			wait = r.nextRelay()
		case res := <-r.replies:
			r.pending--
			if res.err == nil {
				return res.from, decode(res.payload, reply)
			}
			if res.direct && errors.Is(res.err, peer.ErrDeclined) {
				return res.from, res.err
			}
			lastErr = res.err
			r.relay(ctx)
		case <-ctx.Done():
			return hawthornrail.Instance{}, fmt.Errorf("ask VM at %s: %w", address, errors.Join(lastErr, ctx.Err()))
		}
	}
	return hawthornrail.Instance{}, lastErr
}

// requestDirect sends the request without a relay. It waits longer than its
// caller does, since a late reply shows that the path is up.
func (c *Client) requestDirect(ctx context.Context, address string, open *vmpb.Open) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer cancel()
	sent := c.clock.Now()
	payload, from, err := c.direct.InvokeEncoded(ctx, address, open)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, peer.ErrDeclined):
		c.path(address).recordReply(sent, c.clock.Now())
	case errors.Is(err, peer.ErrUnsent):
		c.path(address).recordConnectFailure()
	}
	return result{payload: payload, from: from, err: err, direct: true}
}

// recordRequest records that a request is sent and returns how long to wait for
// a direct reply before the first relay.
func (c *Client) recordRequest(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(address)
	p.recordRequest(c.clock.Now())
	if p.down {
		return 0
	}
	return relayDelay
}

func (c *Client) allowRelay(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.path(address).allowRelay(c.clock.Now())
}

// path returns the state of the path to an address; c.mu must be held.
func (c *Client) path(address string) *directPath {
	p, ok := c.paths[address]
	if !ok {
		p = newDirectPath()
		c.paths[address] = p
	}
	return p
}

func decode(payload []byte, reply proto.Message) error {
	if err := proto.Unmarshal(payload, reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// requestThrough sends the request through a relay and records whether a reply
// came.
func (c *Client) requestThrough(ctx context.Context, via, address string, open *vmpb.Open) result {
	res := c.relayThrough(ctx, via, address, open)
	// An attempt that was cancelled because another one had its reply shows
	// nothing about this relay.
	if res.err == nil || ctx.Err() == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.path(address).recordRelay(via, res.err == nil)
	}
	return res
}

// chooseRelay returns the last successful relay if it has not been tried, else a
// random VM.
func (c *Client) chooseRelay(address string, tried []string) string {
	var candidates []string
	for _, p := range c.peers() {
		if p != address && !slices.Contains(tried, p) {
			candidates = append(candidates, p)
		}
	}
	c.mu.Lock()
	via := c.path(address).lastRelay
	c.mu.Unlock()
	if slices.Contains(candidates, via) {
		return via
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func (c *Client) relayThrough(ctx context.Context, relay, address string, open *vmpb.Open) result {
	message := &vmpb.Open{Kind: &vmpb.Open_Relay{Relay: &vmpb.Relay{
		Address: address, From: convert.InstanceToWire(c.direct.Self()), Question: open,
	}}}
	payload, _, err := c.direct.InvokeEncoded(ctx, relay, message)
	if errors.Is(err, peer.ErrDeclined) {
		// The relay declined, because it got no reply; the target VM did not.
		err = errRelayFailed
	}
	if err != nil {
		return result{err: err}
	}
	var reply vmpb.RelayReply
	if err := decode(payload, &reply); err != nil {
		return result{err: err}
	}
	if reply.GetAnsweredBy() == nil {
		return result{err: errRelayFailed}
	}
	return result{payload: reply.GetPayload(), from: convert.InstanceFromWire(reply.GetAnsweredBy())}
}

// Receive forwards a request that this VM has to relay, or calls handler for a
// request that was relayed to it; it reports whether open is either.
func (c *Client) Receive(ctx context.Context, open *vmpb.Open, s *peer.Stream, handler peer.Handler) bool {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_Relayed:
		handler(ctx, k.Relayed.GetQuestion(), s.WithSender(convert.InstanceFromWire(k.Relayed.GetFrom())))
	case *vmpb.Open_Relay:
		c.relay(ctx, k.Relay, s)
	default:
		return false
	}
	return true
}

func (c *Client) relay(ctx context.Context, m *vmpb.Relay, s *peer.Stream) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	message := &vmpb.Open{Kind: &vmpb.Open_Relayed{Relayed: &vmpb.Relayed{From: m.GetFrom(), Question: m.GetQuestion()}}}
	payload, from, err := c.direct.InvokeEncoded(ctx, m.GetAddress(), message)
	if err != nil {
		// Without a reply the sender tries another relay.
		return
	}
	_ = s.Send(&vmpb.RelayReply{Payload: payload, AnsweredBy: convert.InstanceToWire(from)})
}
