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
	// directHeadStart is how long an answer is waited for before another VM is
	// asked to pass the question on.
	directHeadStart = 50 * time.Millisecond
	// directTimeout bounds how long a direct answer is waited for.
	directTimeout = 2 * time.Second
	// relays is the most VMs that one question is passed on through.
	relays = 2
	// passTimeout bounds how long a question that is passed on may take.
	passTimeout = 2 * time.Second
)

var errNotPassed = errors.New("the VM in between got no answer")

// Direct is the connection to VMs without others in between.
type Direct interface {
	AskEncoded(ctx context.Context, address string, open *vmpb.Open) ([]byte, hawthornrail.Instance, error)
	Self() hawthornrail.Instance
}

// Client asks VMs directly and, when they don't answer, through others. What
// it asks may arrive twice.
type Client struct {
	direct Direct
	peers  func() []string
	clock  hawthornrail.Clock

	mu    sync.Mutex
	paths map[string]*path
}

// NewClient returns a client over direct connections; peers returns the
// addresses of VMs that pass questions on.
func NewClient(direct Direct, peers func() []string, clock hawthornrail.Clock) *Client {
	return &Client{direct: direct, peers: peers, clock: clock, paths: make(map[string]*path)}
}

// answer is what came of one way to ask.
type answer struct {
	payload []byte
	by      hawthornrail.Instance
	err     error
	direct  bool
}

// Ask returns the first answer that comes in, directly or through others; an
// error that wraps peer.ErrDeclined is the asked VM's own.
func (c *Client) Ask(ctx context.Context, address string, open *vmpb.Open, reply proto.Message) (hawthornrail.Instance, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := newQuestion(c, address, open)
	wait := q.begin(ctx)
	var last error
	for q.pending > 0 {
		select {
		case <-wait:
			q.pass(ctx)
			wait = q.nextPass()
		case a := <-q.answers:
			q.pending--
			if a.err == nil {
				return a.by, decode(a.payload, reply)
			}
			if a.direct && errors.Is(a.err, peer.ErrDeclined) {
				return a.by, a.err
			}
			last = a.err
			q.pass(ctx)
		case <-ctx.Done():
			return hawthornrail.Instance{}, fmt.Errorf("ask VM at %s: %w", address, errors.Join(last, ctx.Err()))
		}
	}
	return hawthornrail.Instance{}, last
}

// directly asks without others in between. It waits longer than the asker does:
// a late answer tells that the path is there.
func (c *Client) directly(ctx context.Context, address string, open *vmpb.Open) answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer cancel()
	asked := c.clock.Now()
	payload, by, err := c.direct.AskEncoded(ctx, address, open)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil, errors.Is(err, peer.ErrDeclined):
		c.path(address).answered(asked, c.clock.Now())
	case errors.Is(err, peer.ErrUnsent):
		c.path(address).broken()
	}
	return answer{payload: payload, by: by, err: err, direct: true}
}

// begin records that a VM is asked and returns how long it may take to answer
// directly before others are asked to pass the question on.
func (c *Client) begin(address string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.path(address)
	p.asked(c.clock.Now())
	if p.lost {
		return 0
	}
	return directHeadStart
}

func (c *Client) mayPass(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.path(address).mayPass(c.clock.Now())
}

// path needs the lock.
func (c *Client) path(address string) *path {
	p, ok := c.paths[address]
	if !ok {
		p = newPath()
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

// passThrough asks a VM to pass a question on and remembers whether it did.
func (c *Client) passThrough(ctx context.Context, via, address string, open *vmpb.Open) answer {
	a := c.through(ctx, via, address, open)
	// An asker that has its answer says nothing about the others.
	if a.err == nil || ctx.Err() == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.path(address).passed(via, a.err == nil)
	}
	return a
}

// next draws a VM to pass a question on; one that has just done so comes first.
func (c *Client) next(address string, tried []string) string {
	var list []string
	for _, p := range c.peers() {
		if p != address && !slices.Contains(tried, p) {
			list = append(list, p)
		}
	}
	c.mu.Lock()
	via := c.path(address).via
	c.mu.Unlock()
	if slices.Contains(list, via) {
		return via
	}
	if len(list) == 0 {
		return ""
	}
	return list[rand.IntN(len(list))]
}

func (c *Client) through(ctx context.Context, relay, address string, open *vmpb.Open) answer {
	question := &vmpb.Open{Kind: &vmpb.Open_Relay{Relay: &vmpb.Relay{
		Address: address, From: convert.InstanceToWire(c.direct.Self()), Question: open,
	}}}
	payload, _, err := c.direct.AskEncoded(ctx, relay, question)
	if errors.Is(err, peer.ErrDeclined) {
		// It is the VM in between that says so, since it got no answer.
		err = errNotPassed
	}
	if err != nil {
		return answer{err: err}
	}
	var reply vmpb.RelayReply
	if err := decode(payload, &reply); err != nil {
		return answer{err: err}
	}
	if reply.GetAnsweredBy() == nil {
		return answer{err: errNotPassed}
	}
	return answer{payload: reply.GetPayload(), by: convert.InstanceFromWire(reply.GetAnsweredBy())}
}

// Receive passes a question on to where it belongs, or hands one that was
// passed on to handler; it reports whether open is either.
func (c *Client) Receive(ctx context.Context, open *vmpb.Open, s *peer.Stream, handler peer.Handler) bool {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_Relayed:
		handler(ctx, k.Relayed.GetQuestion(), s.For(convert.InstanceFromWire(k.Relayed.GetFrom())))
	case *vmpb.Open_Relay:
		c.relay(ctx, k.Relay, s)
	default:
		return false
	}
	return true
}

func (c *Client) relay(ctx context.Context, m *vmpb.Relay, s *peer.Stream) {
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	question := &vmpb.Open{Kind: &vmpb.Open_Relayed{Relayed: &vmpb.Relayed{From: m.GetFrom(), Question: m.GetQuestion()}}}
	payload, by, err := c.direct.AskEncoded(ctx, m.GetAddress(), question)
	if err != nil {
		// Without an answer the asker tries another way.
		return
	}
	_ = s.Send(&vmpb.RelayReply{Payload: payload, AnsweredBy: convert.InstanceToWire(by)})
}
