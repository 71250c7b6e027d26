package pool

import (
	"slices"
	"sync"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const noEndpointRetryAfter = time.Second

// Pool picks the endpoint with the fewest requests of this VM under way; it
// implements hawthornrail.Picker.
type Pool struct {
	config     hawthornrail.Configuration
	dataCentre string

	mu       sync.Mutex
	inFlight map[string]int
}

// New returns a pool over the endpoints of a data centre.
func New(config hawthornrail.Configuration, dataCentre string) *Pool {
	return &Pool{config: config, dataCentre: dataCentre, inFlight: make(map[string]int)}
}

// Pick returns the least used endpoint that serves the query, those of this
// data centre first.
func (p *Pool) Pick(q hawthornrail.PickQuery) (hawthornrail.Endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best hawthornrail.Endpoint
	found := false
	for _, e := range p.config.Snapshot().Endpoints() {
		if !suits(e, q) {
			continue
		}
		if !found || p.before(e, best) {
			best, found = e, true
		}
	}
	if !found {
		f := hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "no endpoint serves %s", q.Target())
		return best, f.WithRetryAfter(noEndpointRetryAfter)
	}
	p.inFlight[best.Name()]++
	return best, nil
}

// Done reports the end of a request.
func (p *Pool) Done(endpoint string, _ hawthornrail.PickQuery, _ hawthornrail.Verdict, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[endpoint]--
}

func suits(e hawthornrail.Endpoint, q hawthornrail.PickQuery) bool {
	return e.Kind() == q.Kind() && !e.Leaving() &&
		slices.Contains(e.Serves(), q.Target()) && !slices.Contains(q.Avoid(), e.Name())
}

func (p *Pool) before(a, b hawthornrail.Endpoint) bool {
	if (a.DataCentre() == p.dataCentre) != (b.DataCentre() == p.dataCentre) {
		return a.DataCentre() == p.dataCentre
	}
	return p.inFlight[a.Name()] < p.inFlight[b.Name()]
}
