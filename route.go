package hawthornrail

import (
	"slices"
	"strings"
	"time"
)

// RouteKind defines whether a request of a route may run more than once.
type RouteKind string

// The kinds of route.
const (
	// IdempotentRoute lets a request run more than once.
	IdempotentRoute RouteKind = "idempotent"
	// NonIdempotentRoute lets a request run at most once.
	NonIdempotentRoute RouteKind = "once"
	// StreamRoute returns a stream of events; its requests run at most once unless
	// the route is resumable.
	StreamRoute RouteKind = "stream"
)

// Target is a service that receives a weighted fraction of a route's requests.
type Target struct {
	service string
	weight  int
}

// NewTarget returns a target with its weight among the route's targets.
func NewTarget(service string, weight int) Target { return Target{service: service, weight: weight} }

// Service returns the name of the service.
func (t Target) Service() string { return t.service }

// Weight returns the target's weight relative to the other targets.
func (t Target) Weight() int { return t.weight }

// Route maps the requests for a host and path prefix to services.
type Route struct {
	name      string
	host      string
	prefix    string
	kind      RouteKind
	resumable bool
	public    bool
	priority  int
	attempts  int
	timeout   time.Duration
	objective time.Duration
	// retention is how long the turns of a conversation are kept, or 0 if the route has
	// no conversations.
	retention time.Duration
	targets   []Target
}

// NewRoute returns a route for a host and a path prefix that ends with a slash.
func NewRoute(name, host, prefix string, kind RouteKind, targets []Target) Route {
	return Route{name: name, host: host, prefix: prefix, kind: kind, targets: targets, attempts: 1}
}

// WithResumable returns a copy whose streams may be resumed at another endpoint.
func (r Route) WithResumable(resumable bool) Route {
	r.resumable = resumable
	return r
}

// WithPublic returns a copy that requires no key if public is set.
func (r Route) WithPublic(public bool) Route {
	r.public = public
	return r
}

// WithPriority returns a copy with a priority; 0 is the highest.
func (r Route) WithPriority(priority int) Route {
	r.priority = priority
	return r
}

// WithAttempts returns a copy with the maximum number of endpoints that may run
// one request.
func (r Route) WithAttempts(attempts int) Route {
	r.attempts = max(1, attempts)
	return r
}

// WithTimeoutAndObjective returns a copy with the timeout of a request and the
// objective for its response time.
func (r Route) WithTimeoutAndObjective(timeout, objective time.Duration) Route {
	r.timeout, r.objective = timeout, objective
	return r
}

// WithConversations returns a copy whose requests are turns of conversations that are
// kept for retention after their response.
func (r Route) WithConversations(retention time.Duration) Route {
	r.retention = retention
	return r
}

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Host returns the host of the route's requests.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix.
func (r Route) Prefix() string { return r.prefix }

// Kind returns the kind of the route.
func (r Route) Kind() RouteKind { return r.kind }

// Resumable reports whether a stream may be resumed at another endpoint.
func (r Route) Resumable() bool { return r.resumable }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.kind == IdempotentRoute || r.kind == StreamRoute && r.resumable
}

// Public reports whether the route requires no key.
func (r Route) Public() bool { return r.public }

// Priority returns the route's priority; 0 is the highest.
func (r Route) Priority() int { return r.priority }

// Attempts returns the maximum number of endpoints that may run one request.
func (r Route) Attempts() int { return r.attempts }

// Timeout returns the timeout of a request, or 0 for none.
func (r Route) Timeout() time.Duration { return r.timeout }

// Objective returns the objective for the response time.
func (r Route) Objective() time.Duration { return r.objective }

// Conversations reports whether requests are turns of conversations, which the VMs
// store, and how long a turn is kept.
func (r Route) Conversations() (retention time.Duration, ok bool) {
	return r.retention, r.retention > 0
}

// Targets returns the services that receive the route's requests.
func (r Route) Targets() []Target { return r.targets }

// HasTarget reports whether a service is one of the route's targets.
func (r Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.targets, func(t Target) bool { return t.service == service })
}

// Service is the configuration of the endpoints of one service.
type Service struct {
	name           string
	maxConns       int
	slots          int
	memoryTokens   int
	tokensPerEvent int
	coldStart      time.Duration
	coldPerSecond  float64
}

// NewService returns a service whose endpoints accept at most maxConns
// connections each, across all callers.
func NewService(name string, maxConns int) Service { return Service{name: name, maxConns: maxConns} }

// WithEngine returns a copy whose endpoints are engines with a number of batch
// slots, a memory size in tokens and a number of tokens per streamed event.
func (s Service) WithEngine(slots, memoryTokens, tokensPerEvent int) Service {
	s.slots, s.memoryTokens, s.tokensPerEvent = slots, memoryTokens, tokensPerEvent
	return s
}

// WithColdStart returns a copy whose endpoints accept perSecond requests a second from
// all VMs together while they are cold, which lasts for duration after their start.
func (s Service) WithColdStart(duration time.Duration, perSecond float64) Service {
	s.coldStart, s.coldPerSecond = duration, perSecond
	return s
}

// ColdStart returns how long an endpoint is cold after its start and how many requests a
// second it then accepts from all VMs together; ok is false if endpoints are never cold.
func (s Service) ColdStart() (duration time.Duration, perSecond float64, ok bool) {
	return s.coldStart, s.coldPerSecond, s.coldStart > 0 && s.coldPerSecond > 0
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// MaxConns returns the maximum number of connections to one endpoint.
func (s Service) MaxConns() int { return s.maxConns }

// Engine reports whether the endpoints are engines.
func (s Service) Engine() bool { return s.slots > 0 }

// Slots returns the number of requests that one engine batches, or 0.
func (s Service) Slots() int { return s.slots }

// MemoryTokens returns the memory size of one engine in tokens, or 0.
func (s Service) MemoryTokens() int { return s.memoryTokens }

// TokensPerEvent returns the number of tokens that one event of a stream counts
// as.
func (s Service) TokensPerEvent() int { return max(1, s.tokensPerEvent) }

// RouteTable finds the route of a request by host and longest path prefix; it is
// immutable.
type RouteTable struct {
	hosts map[string]map[string]Route
}

// NewRouteTable returns a table of routes.
func NewRouteTable(routes []Route) *RouteTable {
	t := &RouteTable{hosts: make(map[string]map[string]Route)}
	for _, r := range routes {
		prefixes, ok := t.hosts[r.host]
		if !ok {
			prefixes = make(map[string]Route)
			t.hosts[r.host] = prefixes
		}
		prefixes[r.prefix] = r
	}
	return t
}

// Find returns the route with the longest prefix of a path at a host.
func (t *RouteTable) Find(host, path string) (Route, bool) {
	prefixes, ok := t.hosts[host]
	if !ok {
		return Route{}, false
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := prefixes[path[:end]]; ok {
			return r, true
		}
	}
	return Route{}, false
}
