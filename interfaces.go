package hawthornrail

import (
	"context"
	"net"
	"slices"
	"time"
)

// Dialer opens connections to VMs, endpoints and the platform.
type Dialer interface {
	// Dial connects to an IP address and port over TCP.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// AcknowledgedConn is a connection that shows whether its other end receives what is
// sent: one that is slow acknowledges it, one that is out of reach does not.
type AcknowledgedConn interface {
	net.Conn
	// Unacknowledged returns the number of sent bytes that are not acknowledged.
	Unacknowledged() (int, error)
}

// ResponseWriter receives a response as it arrives; the response is complete only
// if the handler that writes it returns no error.
type ResponseWriter interface {
	// Head starts the response with an HTTP status and a media type.
	Head(status int, contentType string) error
	// Chunk appends a part of the body; it must not retain data.
	Chunk(data []byte) error
}

// Handler serves a request and returns a Failure if the response is incomplete.
type Handler interface {
	Serve(ctx context.Context, r *Request, w ResponseWriter) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, r *Request, w ResponseWriter) error

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, r *Request, w ResponseWriter) error {
	return f(ctx, r, w)
}

// Filter is one stage of the request chain; it may reject the request or pass
// it to next.
type Filter interface {
	Filter(ctx context.Context, r *Request, w ResponseWriter, next Handler) error
}

// Configuration provides the configuration in force.
type Configuration interface {
	// Snapshot returns the newest accepted configuration.
	Snapshot() *Snapshot
	// Age returns the time since the configuration was last known to be current.
	Age() time.Duration
}

// ConfigFreshness tells how far the configuration in force can be relied on.
type ConfigFreshness interface {
	// Usable reports whether requests may be handled as the configuration says. It
	// may not be while it is unknown how old the configuration of a new process is.
	Usable() bool
	// Current reports whether the configuration is so recent that what it does not
	// allow can be refused for good.
	Current() bool
}

// Admitter enforces the teams' rate limits across the fleet.
type Admitter interface {
	// Admit takes one token for a deployment, or returns the delay before a retry.
	Admit(ctx context.Context, d Deployment) (retryAfter time.Duration, ok bool)
	// AdmitWithin is like Admit but waits at most maxWait for a token.
	AdmitWithin(ctx context.Context, d Deployment, maxWait time.Duration) (retryAfter time.Duration, ok bool)
	// RemainingBurst returns the fraction of a deployment's burst that is available,
	// from 0 to 1. It waits a few milliseconds at most if it is still uncertain
	// whether the level reaches the threshold.
	RemainingBurst(ctx context.Context, d Deployment, threshold float64) float64
}

// Ticket describes a request that waits for capacity.
type Ticket struct {
	team          string
	weight        float64
	program       string
	attained      float64
	cost          float64
	priority      int
	kind          EndpointKind
	target        string
	programStart  time.Time
	newProgram    bool
	lastOfProgram bool
}

// NewTicket returns the ticket of a request with its team's weight, the
// attained service of its program and its own expected cost, both in tokens.
func NewTicket(team string, weight float64, program string, attained, cost float64) Ticket {
	return Ticket{team: team, weight: weight, program: program, attained: attained, cost: cost}
}

// WithPriority returns a copy with a priority; higher priorities are dispatched
// first.
func (t Ticket) WithPriority(priority int) Ticket {
	t.priority = priority
	return t
}

// WithTarget returns a copy for a model or service.
func (t Ticket) WithTarget(kind EndpointKind, target string) Ticket {
	t.kind, t.target = kind, target
	return t
}

// WithProgramStart returns a copy with the start time of its program, which keeps
// the program's position in the queue across pauses between its calls.
func (t Ticket) WithProgramStart(programStart time.Time) Ticket {
	t.programStart = programStart
	return t
}

// WithNewProgram returns a copy with whether its program has not run any request
// yet.
func (t Ticket) WithNewProgram(newProgram bool) Ticket {
	t.newProgram = newProgram
	return t
}

// WithLastOfProgram returns a copy with whether it is known to be its program's
// last request.
func (t Ticket) WithLastOfProgram(lastOfProgram bool) Ticket {
	t.lastOfProgram = lastOfProgram
	return t
}

// Team returns the team that the request runs for.
func (t Ticket) Team() string { return t.team }

// Weight returns the team's weight, its relative share of service.
func (t Ticket) Weight() float64 { return t.weight }

// Program returns the id of the program.
func (t Ticket) Program() string { return t.program }

// Attained returns the tokens of service that the program has received.
func (t Ticket) Attained() float64 { return t.attained }

// Cost returns the tokens of service that the request is expected to need.
func (t Ticket) Cost() float64 { return t.cost }

// Priority returns the request's priority; higher priorities are dispatched
// first.
func (t Ticket) Priority() int { return t.priority }

// Kind returns the kind of endpoint that the request needs.
func (t Ticket) Kind() EndpointKind { return t.kind }

// Target returns the model or service that the request needs.
func (t Ticket) Target() string { return t.target }

// ProgramStart returns the start time of the program, or the zero time.
func (t Ticket) ProgramStart() time.Time { return t.programStart }

// NewProgram reports whether the program has not run any request yet.
func (t Ticket) NewProgram() bool { return t.newProgram }

// LastOfProgram reports whether the request is known to be its program's last.
func (t Ticket) LastOfProgram() bool { return t.lastOfProgram }

// Queue orders the requests that wait for endpoint capacity.
type Queue interface {
	// Acquire waits for a slot and returns the function that releases it with the
	// tokens of service used; it returns a Failure if the request is rejected.
	Acquire(ctx context.Context, t Ticket) (release func(usedTokens float64), err error)
}

// Picker chooses the endpoint of a request.
type Picker interface {
	// Pick returns an endpoint that serves the query, or a Failure.
	Pick(q PickQuery) (Endpoint, error)
	// Done records the end of a request at an endpoint with its error, or nil, its
	// usage and its duration.
	Done(endpoint string, q PickQuery, err error, usage Usage, duration time.Duration)
}

// Capacity provides the number of requests that a VM may send to endpoints.
type Capacity interface {
	// Capacity returns how many requests this VM may have in flight for a model or
	// service, and whether requests of programs that have not run yet may start.
	Capacity(kind EndpointKind, target string) (requests int, newPrograms bool)
}

// PickQuery holds the criteria for choosing an endpoint.
type PickQuery struct {
	kind         EndpointKind
	target       string
	program      string
	promptTokens int
	parts        []PromptPart
	excluded     []string
	// version restricts the choice if versioned is set.
	version   string
	versioned bool
}

// NewPickQuery returns the query for a program's request to a model or service
// with an estimated prompt length in tokens.
func NewPickQuery(kind EndpointKind, target, program string, promptTokens int) PickQuery {
	return PickQuery{kind: kind, target: target, program: program, promptTokens: promptTokens}
}

// WithParts returns a copy with the parts of the prompt in order.
func (q PickQuery) WithParts(parts []PromptPart) PickQuery {
	q.parts = parts
	return q
}

// Parts returns the parts of the prompt in order.
func (q PickQuery) Parts() []PromptPart { return q.parts }

// Excluding returns a copy that excludes the endpoints already tried.
func (q PickQuery) Excluding(endpoints []string) PickQuery {
	q.excluded = endpoints
	return q
}

// Kind returns the requested kind of endpoint.
func (q PickQuery) Kind() EndpointKind { return q.kind }

// Target returns the model or service.
func (q PickQuery) Target() string { return q.target }

// Program returns the id of the program.
func (q PickQuery) Program() string { return q.program }

// PromptTokens returns the estimated length of the prompt.
func (q PickQuery) PromptTokens() int { return q.promptTokens }

// Excluded returns the excluded endpoints.
func (q PickQuery) Excluded() []string { return q.excluded }

// WithVersion returns a copy that allows only endpoints of a version.
func (q PickQuery) WithVersion(version string) PickQuery {
	q.version, q.versioned = version, true
	return q
}

// Allows reports whether an endpoint has the required version and is not excluded.
func (q PickQuery) Allows(e Endpoint) bool {
	if q.versioned && e.Version() != q.version {
		return false
	}
	return !slices.Contains(q.excluded, e.Name())
}

// Usage is the token usage of a call at its endpoint.
type Usage struct {
	promptTokens     uint64
	completionTokens uint64
	cachedTokens     uint64
}

// NewUsage returns the prompt, completion and cached prompt tokens of a call.
func NewUsage(prompt, completion, cached uint64) Usage {
	return Usage{promptTokens: prompt, completionTokens: completion, cachedTokens: cached}
}

// PromptTokens returns the tokens of the prompt.
func (u Usage) PromptTokens() uint64 { return u.promptTokens }

// CompletionTokens returns the generated tokens.
func (u Usage) CompletionTokens() uint64 { return u.completionTokens }

// CachedTokens returns the prompt tokens found in the engine's cache.
func (u Usage) CachedTokens() uint64 { return u.cachedTokens }

// ServiceTokens returns the service that the call received, in prompt tokens: its
// uncached prompt tokens plus its completion tokens, each at the cost of a token
// generated in a full batch.
func (u Usage) ServiceTokens() float64 {
	uncached := u.promptTokens - min(u.promptTokens, u.cachedTokens)
	return float64(uncached) + completionWeight*float64(u.completionTokens)
}

// completionWeight is the cost of a generated token in prompt tokens.
const completionWeight = 8.5

// Total returns the sum of prompt and completion tokens.
func (u Usage) Total() uint64 { return u.promptTokens + u.completionTokens }

// Response is the complete response of an endpoint.
type Response struct {
	status      int
	contentType string
	body        []byte
	message     []byte
	usage       Usage
}

// NewResponse returns a response; message is the assistant's message, a JSON
// object, or nil for a service.
func NewResponse(status int, contentType string, body, message []byte, usage Usage) Response {
	return Response{status: status, contentType: contentType, body: body, message: message, usage: usage}
}

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// ContentType returns the media type.
func (r Response) ContentType() string { return r.contentType }

// Body returns the complete body.
func (r Response) Body() []byte { return r.body }

// Message returns the assistant's message, a JSON object, or nil.
func (r Response) Message() []byte { return r.message }

// Usage returns the token usage of the call.
func (r Response) Usage() Usage { return r.usage }

// Dispatcher sends a request to an endpoint.
type Dispatcher interface {
	// Dispatch writes the response to w while it arrives and returns it once it is
	// complete, or a Failure whose verdict states whether the request may have
	// run.
	Dispatch(ctx context.Context, e Endpoint, r *Request, requestID string, w ResponseWriter) (Response, error)
}

// HolderRole tells whether a VM holds the shares of rates under its name, which another VM may
// take over.
type HolderRole interface {
	// HoldsShares returns whether the VM holds the shares now, and when it last took them over
	// from another VM; before the first time that is when its process started.
	HoldsShares() (since time.Time, held bool)
}

// Membership provides this VM's view of the VMs in the fleet.
type Membership interface {
	// Self returns this VM's entry.
	Self() Member
	// Members returns all other VMs sorted by name, including unresponsive ones.
	Members() []Member
	// Member returns the newest known instance of a VM.
	Member(vm string) (Member, bool)
}

// Replicator keeps a backup copy of every program tree that this VM holds.
type Replicator interface {
	// Holding returns the instance under which new trees are created here.
	Holding() Instance
	// Holds reports whether this VM applies the steps of the trees created under
	// an instance.
	Holds(holding Instance) bool
	// Replicate calls apply once the backup copy contains the step; otherwise it
	// returns a Failure with the verdict that the step has not taken effect.
	Replicate(ctx context.Context, s Step, apply func() error) error
	// Sync replaces the backup copy of a tree by one with the given steps.
	Sync(ctx context.Context, steps []Step) error
}

// Programs creates and ends programs, whichever VM is their home.
type Programs interface {
	// Create creates a program, as a sub-agent if parent is not empty.
	Create(ctx context.Context, d Deployment, parent string, budget *Budget) (string, error)
	// End ends a program of a team.
	End(ctx context.Context, team, id, reason string) error
}

// Claims determines which program runs a request that callers retry with an
// idempotency key.
type Claims interface {
	// Claim returns the program that first claimed a team's key: the given one or
	// an earlier one.
	Claim(ctx context.Context, team, key, program string) (string, error)
}

// ClaimList lists the existing claims.
type ClaimList interface {
	// ClaimOwners returns the owner of every key that was claimed without a team.
	ClaimOwners(ctx context.Context) (map[string]string, error)
}

// MemoryReleases reports whether engines have released the memory of ended
// programs.
type MemoryReleases interface {
	// Released reports whether an endpoint holds no memory for a program.
	Released(program, endpoint string) bool
}
