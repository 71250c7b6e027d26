package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	nethttp "net/http"
	"time"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/endpoint/http"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

const (
	// pollInterval bounds the bytes that a VM spends on load, whatever the
	// number of engines.
	pollInterval   = 500 * time.Millisecond
	pollTimeout    = time.Second
	maxReportBytes = 4 << 10
)

// Sink takes what a poll found.
type Sink interface {
	// Report takes an endpoint's load.
	Report(e hawthornrail.Endpoint, r endpoint.Report)
	// Silent takes that an endpoint did not answer.
	Silent(e hawthornrail.Endpoint)
}

// Poller asks the engines for their load, one at a time.
type Poller struct {
	config    hawthornrail.Configuration
	transport *http.Transport
	sink      Sink
	clock     hawthornrail.Clock
	turn      []hawthornrail.Endpoint
}

// NewPoller returns a poller that brings reports to a sink.
func NewPoller(config hawthornrail.Configuration, transport *http.Transport, sink Sink, clock hawthornrail.Clock) *Poller {
	return &Poller{config: config, transport: transport, sink: sink, clock: clock}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if e, ok := p.next(); ok {
			p.poll(ctx, e)
		}
		clock.Wait(ctx, p.clock, pollInterval/2+rand.N(pollInterval))
	}
}

// next goes through all engines in a random order before it starts again.
func (p *Poller) next() (hawthornrail.Endpoint, bool) {
	if len(p.turn) == 0 {
		for _, e := range p.config.Snapshot().Endpoints() {
			if e.Kind() == hawthornrail.EngineEndpoint && !e.Leaving() {
				p.turn = append(p.turn, e)
			}
		}
		rand.Shuffle(len(p.turn), func(i, j int) { p.turn[i], p.turn[j] = p.turn[j], p.turn[i] })
	}
	if len(p.turn) == 0 {
		return hawthornrail.Endpoint{}, false
	}
	e := p.turn[0]
	p.turn = p.turn[1:]
	return e, true
}

type body struct {
	Waiting       int `json:"waiting"`
	Running       int `json:"running"`
	CachedTokens  int `json:"cached_tokens"`
	CacheCapacity int `json:"cache_capacity"`
}

func (p *Poller) poll(ctx context.Context, e hawthornrail.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + e.Address() + "/load")
	exchange, err := p.transport.Do(ctx, e.Address(), request, false)
	if err != nil {
		p.sink.Silent(e)
		return
	}
	defer exchange.Close()
	if exchange.Status() != nethttp.StatusOK {
		return
	}
	b, err := read(exchange)
	if err != nil {
		return
	}
	p.sink.Report(e, endpoint.NewReport(b.Waiting, b.Running, b.CachedTokens, b.CacheCapacity))
}

func read(r io.Reader) (body, error) {
	var b body
	text, err := io.ReadAll(io.LimitReader(r, maxReportBytes))
	if err != nil {
		return b, fmt.Errorf("read load: %w", err)
	}
	if err := json.Unmarshal(text, &b); err != nil {
		return b, fmt.Errorf("load: %w", err)
	}
	return b, nil
}
