package hawthornrail

import (
	"context"
	"io"
	"time"
)

// Header is one header field of a forwarded request or its response.
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

// HeaderReader provides access to header fields.
type HeaderReader interface {
	// Peek returns the value of a header field, or nil.
	Peek(name string) []byte
	// PeekAll returns the values of all header fields of a name.
	PeekAll(name string) [][]byte
}

// PromptPart is a section of a prompt that other prompts may contain too.
type PromptPart struct {
	id     string
	tokens int
}

// NewPromptPart returns a prompt part with its length in tokens.
func NewPromptPart(id string, tokens int) PromptPart { return PromptPart{id: id, tokens: tokens} }

// ID returns the id of the part.
func (p PromptPart) ID() string { return p.id }

// Tokens returns the length of the part.
func (p PromptPart) Tokens() int { return p.tokens }

// ProgramCall is the program information in the headers of a forwarded request.
type ProgramCall struct {
	program   string
	session   string
	timeLeft  time.Duration
	budget    uint64
	hasBudget bool
	parent    string
}

// NewProgramCall returns a call of a session in a program that should finish within timeLeft
// and has no budget.
func NewProgramCall(program, session string, timeLeft time.Duration) ProgramCall {
	return ProgramCall{program: program, session: session, timeLeft: timeLeft}
}

// WithBudget returns a copy whose program may generate a number of tokens in total; with 0 none
// of its calls may run.
func (c ProgramCall) WithBudget(tokens uint64) ProgramCall {
	c.budget, c.hasBudget = tokens, true
	return c
}

// WithParent returns a copy that continues from the turn with an id.
func (c ProgramCall) WithParent(parent string) ProgramCall {
	c.parent = parent
	return c
}

// Parent returns the id of the turn that the request continues from, or the empty
// string.
func (c ProgramCall) Parent() string { return c.parent }

// Program returns the id of the program, or the empty string.
func (c ProgramCall) Program() string { return c.program }

// Session returns the id of the session within the program.
func (c ProgramCall) Session() string { return c.session }

// TimeLeft returns the time that remained on arrival until the program should
// finish.
func (c ProgramCall) TimeLeft() time.Duration { return c.timeLeft }

// Budget returns the tokens that the program may generate in total; ok is false without a
// budget.
func (c ProgramCall) Budget() (tokens uint64, ok bool) { return c.budget, c.hasBudget }

// Prompt is the information in the headers of a forwarded request about its
// prompt and the length of its response.
type Prompt struct {
	tokens    int
	maxOutput int
	parts     []PromptPart
}

// NewPrompt returns a prompt with its length in tokens, the maximum number of
// tokens to generate and the prompt's parts in order.
func NewPrompt(tokens, maxOutput int, parts []PromptPart) Prompt {
	return Prompt{tokens: tokens, maxOutput: maxOutput, parts: parts}
}

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int { return p.tokens }

// MaxOutput returns the maximum number of tokens to generate.
func (p Prompt) MaxOutput() int { return p.maxOutput }

// Parts returns the parts of the prompt in order.
func (p Prompt) Parts() []PromptPart { return p.parts }

// ForwardRequest is a caller's request that is forwarded unchanged.
type ForwardRequest struct {
	id             string
	method         string
	host           string
	uri            string
	path           string
	headers        []Header
	body           []byte
	chainBytes     int
	credential     string
	received       time.Time
	deadline       time.Time
	lastEvent      string
	stream         string
	call           ProgramCall
	prompt         Prompt
	route          Route
	deployment     Deployment
	revision       uint64
	firstOfProgram bool
	memory         RequestMemory
	// digests are set once they have been computed.
	digests *RequestDigests
}

// RequestMemory counts the bytes that are held for a request against the memory of the
// VM.
type RequestMemory interface {
	// Grow counts further bytes until the request ends. It returns a Failure that says "not
	// run" if they do not fit.
	Grow(bytes int) error
}

// NewForwardRequest returns a request with its method, host, URI, path without
// the query, body and time of arrival.
func NewForwardRequest(method, host, uri, path string, body []byte, received time.Time) *ForwardRequest {
	return &ForwardRequest{method: method, host: host, uri: uri, path: path, body: body, received: received}
}

// SetID sets the request id, which identifies one attempt of the caller.
func (r *ForwardRequest) SetID(id string) { r.id = id }

// SetMemory sets what counts the bytes that are held for the request.
func (r *ForwardRequest) SetMemory(m RequestMemory) { r.memory = m }

// Reserve counts further bytes before they are held for the request, besides its head and
// the body that it arrived with. It returns a Failure if they do not fit in memory.
func (r *ForwardRequest) Reserve(bytes int) error {
	if r.memory == nil {
		return nil
	}
	return r.memory.Grow(bytes)
}

// SetHeaders sets the header fields that are forwarded.
func (r *ForwardRequest) SetHeaders(headers []Header) { r.headers = headers }

// SetCredential stores the caller's key until the request is identified.
func (r *ForwardRequest) SetCredential(key string) { r.credential = key }

// SetDeadline sets the time at which the caller stops waiting.
func (r *ForwardRequest) SetDeadline(deadline time.Time) { r.deadline = deadline }

// SetResumed sets the id of the last event that the caller has received and the id
// of the request that brought its first one, or empty strings.
func (r *ForwardRequest) SetResumed(lastEvent, stream string) {
	r.lastEvent, r.stream = lastEvent, stream
}

// SetCall sets the program information of the request.
func (r *ForwardRequest) SetCall(c ProgramCall) { r.call = c }

// SetBody replaces the body, before the request is sent for the first time; its first
// chainBytes are the content of the chain that the request continues from.
func (r *ForwardRequest) SetBody(body []byte, chainBytes int) {
	r.body, r.chainBytes = body, chainBytes
}

// SetPrompt sets the prompt information of the request.
func (r *ForwardRequest) SetPrompt(p Prompt) { r.prompt = p }

// Match sets the route and the revision that it belongs to, and limits the
// deadline to the route's timeout.
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

// SetFirstOfProgram sets whether the request is its program's first.
func (r *ForwardRequest) SetFirstOfProgram(firstOfProgram bool) { r.firstOfProgram = firstOfProgram }

// FirstOfProgram reports whether the request is its program's first.
func (r *ForwardRequest) FirstOfProgram() bool { return r.firstOfProgram }

// ID returns the request id, which identifies one attempt of the caller.
func (r *ForwardRequest) ID() string { return r.id }

// Method returns the HTTP method.
func (r *ForwardRequest) Method() string { return r.method }

// Host returns the host that the caller addressed.
func (r *ForwardRequest) Host() string { return r.host }

// URI returns the path with its query, as the caller sent it.
func (r *ForwardRequest) URI() string { return r.uri }

// Path returns the path without its query.
func (r *ForwardRequest) Path() string { return r.path }

// Headers returns the header fields that are forwarded.
func (r *ForwardRequest) Headers() []Header { return r.headers }

// Body returns the request's body.
func (r *ForwardRequest) Body() []byte { return r.body }

// ChainBytes returns how many bytes at the start of the body are the content of the chain
// that the request continues from.
func (r *ForwardRequest) ChainBytes() int { return r.chainBytes }

// Credential returns the caller's key, or the empty string once the request is
// identified.
func (r *ForwardRequest) Credential() string { return r.credential }

// Received returns when the request arrived.
func (r *ForwardRequest) Received() time.Time { return r.received }

// Deadline returns the time at which the caller stops waiting, or the zero time.
func (r *ForwardRequest) Deadline() time.Time { return r.deadline }

// LastEvent returns the id of the last event that the caller has received, or the
// empty string.
func (r *ForwardRequest) LastEvent() string { return r.lastEvent }

// Stream returns the id of the request that brought the first event of a stream
// that the caller takes up again, or the empty string.
func (r *ForwardRequest) Stream() string { return r.stream }

// Call returns the program information of the request.
func (r *ForwardRequest) Call() ProgramCall { return r.call }

// Prompt returns the prompt information of the request.
func (r *ForwardRequest) Prompt() Prompt { return r.prompt }

// Route returns the route that the request matches.
func (r *ForwardRequest) Route() Route { return r.route }

// Deployment returns the deployment of the caller's team.
func (r *ForwardRequest) Deployment() Deployment { return r.deployment }

// Revision returns the revision of the configuration that matched the route.
func (r *ForwardRequest) Revision() uint64 { return r.revision }

// ForwardResponse is an endpoint's response: either buffered, or a stream that ends
// with io.EOF only if it is complete.
type ForwardResponse struct {
	status  int
	headers []Header
	body    []byte
	stream  io.ReadCloser
	version string
	// release is called when the buffered body is no longer held; it may be nil.
	release func()
}

// NewForwardResponse returns a response with a buffered body.
func NewForwardResponse(status int, headers []Header, body []byte) *ForwardResponse {
	return &ForwardResponse{status: status, headers: headers, body: body}
}

// NewForwardStream returns a response with a streamed body; each read returns
// complete events.
func NewForwardStream(status int, headers []Header, stream io.ReadCloser) *ForwardResponse {
	return &ForwardResponse{status: status, headers: headers, stream: stream}
}

// Status returns the HTTP status.
func (a *ForwardResponse) Status() int { return a.status }

// Headers returns the header fields.
func (a *ForwardResponse) Headers() []Header { return a.headers }

// Body returns the buffered body, or nil for a stream.
func (a *ForwardResponse) Body() []byte { return a.body }

// WithVersion returns a copy with the version of the software that wrote it.
func (a *ForwardResponse) WithVersion(version string) *ForwardResponse {
	c := *a
	c.version = version
	return &c
}

// Version returns the version of the software that wrote the response.
func (a *ForwardResponse) Version() string { return a.version }

// WithRelease returns a copy with a function that is called when the buffered body is no
// longer held.
func (a *ForwardResponse) WithRelease(release func()) *ForwardResponse {
	c := *a
	c.release = release
	return &c
}

// Release records that the buffered body is no longer held; it must be called once the
// response is written.
func (a *ForwardResponse) Release() {
	if a.release != nil {
		a.release()
	}
}

// Stream returns the streamed body, or nil for a buffered response.
func (a *ForwardResponse) Stream() io.ReadCloser { return a.stream }

// WithStream returns a copy with another stream.
func (a *ForwardResponse) WithStream(stream io.ReadCloser) *ForwardResponse {
	c := *a
	c.stream = stream
	return &c
}

// ForwardHandler handles a forwarded request and returns its response or a
// Failure.
type ForwardHandler interface {
	Forward(ctx context.Context, r *ForwardRequest) (*ForwardResponse, error)
}

// ForwardHandlerFunc adapts a function to a ForwardHandler.
type ForwardHandlerFunc func(ctx context.Context, r *ForwardRequest) (*ForwardResponse, error)

// Forward calls f.
func (f ForwardHandlerFunc) Forward(ctx context.Context, r *ForwardRequest) (*ForwardResponse, error) {
	return f(ctx, r)
}

// ForwardFilter is one stage of the chain of forwarded requests; it may reject
// the request or pass it to next.
type ForwardFilter interface {
	Filter(ctx context.Context, r *ForwardRequest, next ForwardHandler) (*ForwardResponse, error)
}

// CallerCodec translates between the headers of callers and forwarded
// requests.
type CallerCodec interface {
	// Read sets the fields of r from the header fields of a request; it returns a
	// Failure if a value is out of range.
	Read(h HeaderReader, r *ForwardRequest) error
	// Forwarded reports whether a header field of a request is forwarded.
	Forwarded(name string) bool
	// Failure returns the status and header fields that describe a failure.
	Failure(f *Failure) (status int, headers []Header)
}

// EndpointStatus is the metadata of an endpoint's response.
type EndpointStatus struct {
	// RequestID is the id of the request that the response belongs to, or empty.
	RequestID string
	// NotRun reports that the endpoint did not run the request.
	NotRun bool
	// WrongInstance reports that another instance now uses the endpoint's address.
	WrongInstance bool
	// Draining reports that the endpoint is draining and accepts no new requests.
	Draining bool
	// RateLimit is the number of requests a second that the endpoint accepts from
	// all VMs together, or 0 if it names no limit.
	RateLimit float64
	// Load reports that Running, Waiting and Slots are set.
	Load    bool
	Running int
	Waiting int
	Slots   int
	// Pace is the factor by which work takes longer than usual at the endpoint now, or
	// 0 if it reports none.
	Pace float64
	// InvalidLoad is a load report that can't be read, or empty.
	InvalidLoad string
}

// EndpointCodec translates between forwarded requests and the headers of
// endpoints.
type EndpointCodec interface {
	// Headers returns the header fields for an endpoint with the time remaining
	// until the deadline; lastEvent is the id of the last event that the caller
	// has received.
	Headers(r *ForwardRequest, e Endpoint, remaining time.Duration, lastEvent string) []Header
	// Read returns the metadata of a response with a status.
	Read(status int, h HeaderReader) EndpointStatus
}

// Accounts enforces the budgets of programs across all VMs.
type Accounts interface {
	// Reserve reserves tokens of a program's budget for a call and reports whether
	// it is the program's first; it returns a Failure if too few tokens are left
	// or no holder responds.
	Reserve(ctx context.Context, program, call string, budget, tokens uint64) (firstOfProgram bool, err error)
	// Settle replaces a call's reservation by the tokens that it used.
	Settle(program, call string, used uint64)
}

// Quarantine refuses requests like those that have crashed the endpoints which ran
// them.
type Quarantine interface {
	// Check returns a Failure while requests with one of the digests are refused.
	Check(digests RequestDigests) error
	// Admit returns a Failure unless a request may be sent now; trial reports that no
	// other request like it may.
	Admit(ctx context.Context, digests RequestDigests) (trial bool, err error)
	// RecordCrash records that an endpoint crashed while it had a team's request.
	RecordCrash(digests RequestDigests, team, endpoint string)
	// RecordLoss records that an endpoint broke off a team's request while nothing told
	// a crash from a cut link; it counts as a crash once the endpoint is gone.
	RecordLoss(digests RequestDigests, team, endpoint string)
	// RecordCompletion records that an endpoint has run a request to its end.
	RecordCompletion(digests RequestDigests)
}

// StreamOrigin is the service and the version of its software that began a stream.
type StreamOrigin struct {
	service string
	version string
}

// NewStreamOrigin returns the origin of a stream.
func NewStreamOrigin(service, version string) StreamOrigin {
	return StreamOrigin{service: service, version: version}
}

// Service returns the name of the service.
func (o StreamOrigin) Service() string { return o.service }

// Version returns the version of the service's software.
func (o StreamOrigin) Version() string { return o.version }

// StreamOrigins knows which version of a service began a stream, also one that
// began at another VM.
type StreamOrigins interface {
	// Record records where a stream began; stream is the id of the request that
	// brings its first event.
	Record(stream string, origin StreamOrigin)
	// Find returns where a stream began that a caller takes up; ok is false if no VM
	// that responds can tell.
	Find(ctx context.Context, stream string, route Route) (origin StreamOrigin, ok bool)
}
