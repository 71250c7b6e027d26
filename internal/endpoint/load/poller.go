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
	// pollInterval is the mean time between two polls; it does not depend on the
	// number of engines, which bounds the traffic that a VM spends on polling.
	pollInterval   = 500 * time.Millisecond
	pollTimeout    = time.Second
	maxReportBytes = 4 << 10
)

// Sink receives the results of polls.
type Sink interface {
	// Report records the load of an endpoint.
	Report(e hawthornrail.Endpoint, r endpoint.Report)
	// MarkUnresponsive records that an endpoint did not respond.
	MarkUnresponsive(e hawthornrail.Endpoint)
}

// Poller polls the engines for their load, one at a time.
type Poller struct {
	config    hawthornrail.Configuration
	transport *http.Transport
	sink      Sink
	clock     hawthornrail.Clock
	pending   []hawthornrail.Endpoint
}

// NewPoller returns a poller that passes the reports to a sink.
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

// next returns the next engine to poll; all engines are polled once, in a
// random order, before the list is built again.
func (p *Poller) next() (hawthornrail.Endpoint, bool) {
	if len(p.pending) == 0 {
		for _, e := range p.config.Snapshot().Endpoints() {
			if e.Kind() == hawthornrail.EngineEndpoint && !e.Draining() {
				p.pending = append(p.pending, e)
			}
		}
		rand.Shuffle(len(p.pending), func(i, j int) { p.pending[i], p.pending[j] = p.pending[j], p.pending[i] })
	}
	if len(p.pending) == 0 {
		return hawthornrail.Endpoint{}, false
	}
	e := p.pending[0]
	p.pending = p.pending[1:]
	return e, true
}

type loadReport struct {
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
		p.sink.MarkUnresponsive(e)
		return
	}
	defer exchange.Close()
	if exchange.Status() != nethttp.StatusOK {
		return
	}
	report, err := readReport(exchange)
	if err != nil {
		return
	}
	p.sink.Report(e, endpoint.NewReport(report.Waiting, report.Running, report.CachedTokens, report.CacheCapacity))
}

func readReport(r io.Reader) (loadReport, error) {
	var report loadReport
	data, err := io.ReadAll(io.LimitReader(r, maxReportBytes))
	if err != nil {
		return report, fmt.Errorf("read load: %w", err)
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, fmt.Errorf("load: %w", err)
	}
	return report, nil
}
