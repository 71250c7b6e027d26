package hawthornrail

import (
	"context"
	"io"
	"time"
)

// Header is one header field of a forwarded request or its answer.
type Header struct {
	name  string
	value string
}

// NewHeader returns a header field.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the field's name.
func (h Header) Name() string { return h.name }

// Value returns the field's value.
func (h Header) Value() string { return h.value }

// HeaderReader gives the value of a header field, or nil.
type HeaderReader interface {
	Peek(name string) []byte
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	id     string
	tokens int
}

// NewPromptPart returns a part with its length in tokens.
func NewPromptPart(id string, tokens int) PromptPart { return PromptPart{id: id, tokens: tokens} }

// ID returns the id of the part.
func (p PromptPart) ID() string { return p.id }

// Tokens returns the length of the part.
func (p PromptPart) Tokens() int { return p.tokens }

// ProgramCall is what a forwarded request says of its program.
type ProgramCall struct {
	program string
	line    string
	left    time.Duration
	budget  uint64
}

// NewProgramCall returns a call of a line of turns in a program that should be
// finished within a time and may generate budget tokens in all, 0 for a call
// that generates none.
func NewProgramCall(program, line string, left time.Duration, budget uint64) ProgramCall {
	return ProgramCall{program: program, line: line, left: left, budget: budget}
}

// Program returns the id of the program, or nothing.
func (c ProgramCall) Program() string { return c.program }

// Line returns the id of the line of turns within the program.
func (c ProgramCall) Line() string { return c.line }

// Left returns the time until the program should be finished, on arrival.
func (c ProgramCall) Left() time.Duration { return c.left }

// Budget returns the tokens that the program may generate in all.
func (c ProgramCall) Budget() uint64 { return c.budget }

// Prompt is what a forwarded request says of its prompt and its answer.
type Prompt struct {
	tokens    int
	maxOutput int
	parts     []PromptPart
}

// NewPrompt returns a prompt of a length in tokens with the most tokens that
// may be generated and the prompt's parts in order.
func NewPrompt(tokens, maxOutput int, parts []PromptPart) Prompt {
	return Prompt{tokens: tokens, maxOutput: maxOutput, parts: parts}
}

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int { return p.tokens }

// MaxOutput returns the most tokens that may be generated.
func (p Prompt) MaxOutput() int { return p.maxOutput }

// Parts returns the parts of the prompt in order.
func (p Prompt) Parts() []PromptPart { return p.parts }

// ForwardRequest is a caller's request that is passed on unchanged.
type ForwardRequest struct {
	id         string
	method     string
	host       string
	uri        string
	path       string
	headers    []Header
	body       []byte
	credential string
	received   time.Time
	deadline   time.Time
	lastEvent  string
	call       ProgramCall
	prompt     Prompt
	route      Route
	deployment Deployment
	revision   uint64
	first      bool
}

// NewForwardRequest returns a request of a method for the path of a URI at a
// host, received at a time.
func NewForwardRequest(method, host, uri, path string, body []byte, received time.Time) *ForwardRequest {
	return &ForwardRequest{method: method, host: host, uri: uri, path: path, body: body, received: received}
}

// SetID sets the id of this attempt of the caller.
func (r *ForwardRequest) SetID(id string) { r.id = id }

// SetHeaders sets the header fields that are passed on.
func (r *ForwardRequest) SetHeaders(headers []Header) { r.headers = headers }

// SetCredential keeps the caller's key until the request is identified.
func (r *ForwardRequest) SetCredential(key string) { r.credential = key }

// SetDeadline sets the time at which the caller stops waiting.
func (r *ForwardRequest) SetDeadline(deadline time.Time) { r.deadline = deadline }

// SetLastEvent sets the id of the last event that the caller has.
func (r *ForwardRequest) SetLastEvent(id string) { r.lastEvent = id }

// SetCall sets what the request says of its program.
func (r *ForwardRequest) SetCall(c ProgramCall) { r.call = c }

// SetPrompt sets what the request says of its prompt.
func (r *ForwardRequest) SetPrompt(p Prompt) { r.prompt = p }

// Match sets the route, and brings the deadline forward to its timeout.
func (r *ForwardRequest) Match(route Route, revision uint64) {
	r.route, r.revision = route, revision
	if route.Timeout() <= 0 {
		return
	}
	if limit := r.received.Add(route.Timeout()); r.deadline.IsZero() || limit.Before(r.deadline) {
		r.deadline = limit
	}
}

// Identify drops the credential and sets the team's deployment.
func (r *ForwardRequest) Identify(d Deployment) { r.credential, r.deployment = "", d }

// SetFirst says that the request is its program's first.
func (r *ForwardRequest) SetFirst(first bool) { r.first = first }

// First reports whether the request is its program's first.
func (r *ForwardRequest) First() bool { return r.first }

// ID returns the id of this attempt of the caller.
func (r *ForwardRequest) ID() string { return r.id }

// Method returns the HTTP method.
func (r *ForwardRequest) Method() string { return r.method }

// Host returns the host that the caller asked.
func (r *ForwardRequest) Host() string { return r.host }

// URI returns the path with its query, as the caller sent it.
func (r *ForwardRequest) URI() string { return r.uri }

// Path returns the path without its query.
func (r *ForwardRequest) Path() string { return r.path }

// Headers returns the header fields that are passed on.
func (r *ForwardRequest) Headers() []Header { return r.headers }

// Body returns the request's body.
func (r *ForwardRequest) Body() []byte { return r.body }

// Credential returns the caller's key, or nothing once identified.
func (r *ForwardRequest) Credential() string { return r.credential }

// Received returns when the request arrived.
func (r *ForwardRequest) Received() time.Time { return r.received }

// Deadline returns when the caller stops waiting, or zero.
func (r *ForwardRequest) Deadline() time.Time { return r.deadline }

// LastEvent returns the id of the last event that the caller has, or nothing.
func (r *ForwardRequest) LastEvent() string { return r.lastEvent }

// Call returns what the request says of its program.
func (r *ForwardRequest) Call() ProgramCall { return r.call }

// Prompt returns what the request says of its prompt.
func (r *ForwardRequest) Prompt() Prompt { return r.prompt }

// Route returns the route that the request matches.
func (r *ForwardRequest) Route() Route { return r.route }

// Deployment returns the deployment of the caller's team.
func (r *ForwardRequest) Deployment() Deployment { return r.deployment }

// Revision returns the revision of the configuration that matched the route.
func (r *ForwardRequest) Revision() uint64 { return r.revision }

// ForwardAnswer is an endpoint's answer: whole, or a stream that ends with
// io.EOF only if it is whole.
type ForwardAnswer struct {
	status  int
	headers []Header
	body    []byte
	stream  io.ReadCloser
}

// NewForwardAnswer returns a whole answer.
func NewForwardAnswer(status int, headers []Header, body []byte) *ForwardAnswer {
	return &ForwardAnswer{status: status, headers: headers, body: body}
}

// NewForwardStream returns an answer whose body still arrives; each read
// returns whole events.
func NewForwardStream(status int, headers []Header, stream io.ReadCloser) *ForwardAnswer {
	return &ForwardAnswer{status: status, headers: headers, stream: stream}
}

// Status returns the HTTP status.
func (a *ForwardAnswer) Status() int { return a.status }

// Headers returns the header fields.
func (a *ForwardAnswer) Headers() []Header { return a.headers }

// Body returns the body of a whole answer.
func (a *ForwardAnswer) Body() []byte { return a.body }

// Stream returns the body of an answer that still arrives, or nil.
func (a *ForwardAnswer) Stream() io.ReadCloser { return a.stream }

// WithStream returns a copy with another stream.
func (a *ForwardAnswer) WithStream(stream io.ReadCloser) *ForwardAnswer {
	c := *a
	c.stream = stream
	return &c
}

// ForwardHandler answers forwarded requests or returns a Failure.
type ForwardHandler interface {
	Forward(ctx context.Context, r *ForwardRequest) (*ForwardAnswer, error)
}

// ForwardHandlerFunc is a function that is a ForwardHandler.
type ForwardHandlerFunc func(ctx context.Context, r *ForwardRequest) (*ForwardAnswer, error)

// Forward calls f.
func (f ForwardHandlerFunc) Forward(ctx context.Context, r *ForwardRequest) (*ForwardAnswer, error) {
	return f(ctx, r)
}

// ForwardFilter is one stage of the chain of forwarded requests; it may refuse
// the request or pass it to next.
type ForwardFilter interface {
	Filter(ctx context.Context, r *ForwardRequest, next ForwardHandler) (*ForwardAnswer, error)
}

// CallerDialect translates between callers and forwarded requests.
type CallerDialect interface {
	// Read sets what the header fields of a request say; it returns a Failure
	// if they are out of range.
	Read(h HeaderReader, r *ForwardRequest) error
	// Passed reports whether a header field of a request is passed on.
	Passed(name string) bool
	// Failure returns the status and header fields that tell of a failure.
	Failure(f *Failure) (status int, headers []Header)
}

// EndpointReading is what an endpoint's answer says besides its content.
type EndpointReading struct {
	// RequestID is the id of the request that the answer belongs to, if told.
	RequestID string
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Elsewhere says that another instance has the endpoint's address.
	Elsewhere bool
	// Leaving says that the endpoint is leaving and takes no new requests.
	Leaving bool
	// Load says that Running, Waiting and Slots are told.
	Load    bool
	Running int
	Waiting int
	Slots   int
}

// EndpointDialect translates between forwarded requests and endpoints.
type EndpointDialect interface {
	// Headers returns the header fields for an endpoint with the time left
	// until the deadline; lastEvent is the last event that the caller has.
	Headers(r *ForwardRequest, e Endpoint, left time.Duration, lastEvent string) []Header
	// Read returns what an answer with a status says.
	Read(status int, h HeaderReader) EndpointReading
}

// Accounts keeps programs within their budgets over all VMs.
type Accounts interface {
	// Reserve sets tokens of a program's budget aside for a call and reports
	// whether it is the program's first; it returns a Failure if the budget does
	// not hold them or no holder answers.
	Reserve(ctx context.Context, program, call string, budget, tokens uint64) (first bool, err error)
	// Settle replaces a call's reservation by what it used.
	Settle(program, call string, used uint64)
}
