package hawthornrail

// Request is a caller's call to a model or a service.
type Request struct {
	credential     string
	keyID          string
	deployment     Deployment
	revision       uint64
	program        string
	callNumber     uint64
	model          string
	service        string
	method         string
	path           string
	contentType    string
	body           []byte
	idempotencyKey string
	idempotent     bool
	stream         bool
	keepHistory    bool
	endsProgram    bool
	outputLimit    uint64
}

// NewModelRequest returns a chat-completions call to a model; model calls are
// idempotent.
func NewModelRequest(model string, body []byte, stream bool) *Request {
	return &Request{
		model: model, body: body, stream: stream, idempotent: true,
		method: "POST", path: "/v1/chat/completions", contentType: "application/json",
	}
}

// NewServiceRequest returns a call to a plain service.
func NewServiceRequest(service, method, path, contentType string, body []byte) *Request {
	return &Request{service: service, method: method, path: path, contentType: contentType, body: body}
}

// SetCredential stores the caller's key until the request is identified.
func (r *Request) SetCredential(key string) { r.credential = key }

// Identify drops the credential and sets the key's id and deployment.
func (r *Request) Identify(keyID string, d Deployment) {
	r.credential, r.keyID, r.deployment = "", keyID, d
}

// SetRevision sets the revision of the configuration that identified the
// request.
func (r *Request) SetRevision(revision uint64) { r.revision = revision }

// SetProgram sets the program's id and the call's number in it.
func (r *Request) SetProgram(id string, number uint64) { r.program, r.callNumber = id, number }

// SetIdempotency sets the caller's idempotency key and whether the request may be
// sent to endpoints more than once.
func (r *Request) SetIdempotency(key string, idempotent bool) {
	r.idempotencyKey, r.idempotent = key, idempotent
}

// SetKeepHistory sets whether the home prepends the program's history to the
// request's messages.
func (r *Request) SetKeepHistory(keep bool) { r.keepHistory = keep }

// SetEndsProgram sets whether this call is the program's last one.
func (r *Request) SetEndsProgram(ends bool) { r.endsProgram = ends }

// SetOutputLimit sets the maximum number of completion tokens that an engine may
// generate.
func (r *Request) SetOutputLimit(tokens uint64) { r.outputLimit = tokens }

// OutputLimit returns the maximum number of completion tokens, or 0 for no limit.
func (r *Request) OutputLimit() uint64 { return r.outputLimit }

// Credential returns the caller's key, or the empty string once the request is
// identified.
func (r *Request) Credential() string { return r.credential }

// KeyID returns the public id of the caller's key.
func (r *Request) KeyID() string { return r.keyID }

// Deployment returns the deployment that the request runs under.
func (r *Request) Deployment() Deployment { return r.deployment }

// Revision returns the revision of the configuration that identified the
// request.
func (r *Request) Revision() uint64 { return r.revision }

// Team returns the team that the request runs for.
func (r *Request) Team() string { return r.deployment.Team() }

// Program returns the program's id, or the empty string for a single call.
func (r *Request) Program() string { return r.program }

// CallNumber returns the call's number in its program, from 1.
func (r *Request) CallNumber() uint64 { return r.callNumber }

// Model returns the model, or the empty string for a service call.
func (r *Request) Model() string { return r.model }

// Service returns the service, or the empty string for a model call.
func (r *Request) Service() string { return r.service }

// Target returns the model or the service.
func (r *Request) Target() string {
	if r.model != "" {
		return r.model
	}
	return r.service
}

// Method returns the HTTP method.
func (r *Request) Method() string { return r.method }

// Path returns the path at the endpoint.
func (r *Request) Path() string { return r.path }

// ContentType returns the media type of the body.
func (r *Request) ContentType() string { return r.contentType }

// Body returns the request's body.
func (r *Request) Body() []byte { return r.body }

// IdempotencyKey returns the caller's idempotency key, or the empty string.
func (r *Request) IdempotencyKey() string { return r.idempotencyKey }

// Idempotent reports whether the request may be sent to endpoints more than once.
func (r *Request) Idempotent() bool { return r.idempotent }

// Stream reports whether the caller requested a streamed response.
func (r *Request) Stream() bool { return r.stream }

// KeepHistory reports whether the home prepends the program's history.
func (r *Request) KeepHistory() bool { return r.keepHistory }

// EndsProgram reports whether the call is the program's last one.
func (r *Request) EndsProgram() bool { return r.endsProgram }
