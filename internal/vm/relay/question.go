package relay

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// question is one question on its ways to a VM.
type question struct {
	client  *Client
	address string
	open    *vmpb.Open
	// answers has room for those of all ways, since none may be waited for.
	answers chan answer
	// pending are the ways that have not answered yet.
	pending int
	// tried are the VMs that were asked to pass it on.
	tried []string
}

func newQuestion(c *Client, address string, open *vmpb.Open) *question {
	return &question{client: c, address: address, open: open, answers: make(chan answer, relays+1)}
}

// begin asks directly and returns when another VM may be asked.
func (q *question) begin(ctx context.Context) <-chan time.Time {
	wait := q.client.clock.After(q.client.begin(q.address))
	// The direct question is sent beside the others and gets fields of its own.
	direct := proto.CloneOf(q.open)
	q.pending++
	go func() { q.answers <- q.client.directly(ctx, q.address, direct) }()
	return wait
}

// pass asks one more VM to pass the question on, if that is due.
func (q *question) pass(ctx context.Context) {
	if len(q.tried) == relays || !q.client.mayPass(q.address) {
		return
	}
	via := q.client.next(q.address, q.tried)
	if via == "" {
		return
	}
	q.tried = append(q.tried, via)
	q.pending++
	go func() { q.answers <- q.client.passThrough(ctx, via, q.address, q.open) }()
}

// nextPass returns when one more VM may be asked, which is never once as many
// were as may be.
func (q *question) nextPass() <-chan time.Time {
	if len(q.tried) == relays {
		return nil
	}
	return q.client.clock.After(directHeadStart)
}
