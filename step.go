package hawthornrail

import "time"

// Step is one numbered change of a tree.
type Step struct {
	tree     ProgramID
	sequence uint64
	change   Change
}

// NewStep returns the step of a tree with a sequence number.
func NewStep(tree ProgramID, sequence uint64, change Change) Step {
	return Step{tree: tree.Tree(), sequence: sequence, change: change}
}

// Tree returns the id of the tree that the step changes.
func (s Step) Tree() ProgramID { return s.tree }

// Sequence returns the step's sequence number in its tree, starting at 1.
func (s Step) Sequence() uint64 { return s.sequence }

// Change returns the change that the step applies.
func (s Step) Change() Change { return s.change }

// Change is one of CreateTree, CreateChild, Intent, Outcome and End.
type Change interface {
	change()
}

func (CreateTree) change()  {}
func (CreateChild) change() {}
func (Intent) change()      {}
func (Outcome) change()     {}
func (End) change()         {}

// CreateTree starts a tree with its root program.
type CreateTree struct {
	team       string
	deployment string
	budget     Budget
	created    time.Time
}

// NewCreateTree returns the change that starts a tree of a team.
func NewCreateTree(team, deployment string, budget Budget, created time.Time) CreateTree {
	return CreateTree{team: team, deployment: deployment, budget: budget, created: created}
}

// Team returns the team that the tree belongs to.
func (c CreateTree) Team() string { return c.team }

// Deployment returns the deployment that the tree runs under.
func (c CreateTree) Deployment() string { return c.deployment }

// Budget returns the limits of the whole tree.
func (c CreateTree) Budget() Budget { return c.budget }

// Created returns the wall-clock time of the tree's start.
func (c CreateTree) Created() time.Time { return c.created }

// CreateChild starts a sub-agent whose budget is deducted from its parent's.
type CreateChild struct {
	parent  uint32
	budget  Budget
	created time.Time
}

// NewCreateChild returns the change that starts a sub-agent of parent.
func NewCreateChild(parent uint32, budget Budget, created time.Time) CreateChild {
	return CreateChild{parent: parent, budget: budget, created: created}
}

// Parent returns the index of the parent program.
func (c CreateChild) Parent() uint32 { return c.parent }

// Budget returns the part of the parent's budget that the sub-agent receives.
func (c CreateChild) Budget() Budget { return c.budget }

// Created returns the wall-clock time of the sub-agent's start.
func (c CreateChild) Created() time.Time { return c.created }

// Intent records that a call is about to be sent to an endpoint.
type Intent struct {
	program        uint32
	number         uint64
	digest         []byte
	endpoint       string
	idempotent     bool
	reservedTokens uint64
	messages       []byte
}

// NewIntent returns the change that reserves tokens for a call and records the
// endpoint that it is sent to.
func NewIntent(program uint32, number uint64, digest []byte, endpoint string, idempotent bool, reservedTokens uint64) Intent {
	return Intent{
		program: program, number: number, digest: digest, endpoint: endpoint,
		idempotent: idempotent, reservedTokens: reservedTokens,
	}
}

// WithMessages returns a copy that adds messages, a JSON array, to the
// history kept for the program.
func (i Intent) WithMessages(messages []byte) Intent {
	i.messages = messages
	return i
}

// Program returns the index of the calling program.
func (i Intent) Program() uint32 { return i.program }

// Number returns the call's number in its program, starting at 1.
func (i Intent) Number() uint64 { return i.number }

// Digest returns the hash of the request.
func (i Intent) Digest() []byte { return i.digest }

// Endpoint returns the name of the endpoint that the call is sent to.
func (i Intent) Endpoint() string { return i.endpoint }

// Idempotent reports whether the call may be sent again.
func (i Intent) Idempotent() bool { return i.idempotent }

// ReservedTokens returns the tokens reserved for the call.
func (i Intent) ReservedTokens() uint64 { return i.reservedTokens }

// Messages returns the new messages of the call, a JSON array, or nil.
func (i Intent) Messages() []byte { return i.messages }

// Outcome records the result of the call of an Intent.
type Outcome struct {
	program     uint32
	number      uint64
	verdict     Verdict
	code        Code
	status      int
	contentType string
	body        []byte
	message     []byte
	usedTokens  uint64
	endReason   string
}

// NewOutcome returns the outcome of a call without a response.
func NewOutcome(program uint32, number uint64, verdict Verdict, code Code) Outcome {
	return Outcome{program: program, number: number, verdict: verdict, code: code}
}

// NewResponseOutcome returns the outcome of a call that ran and received a
// complete response.
func NewResponseOutcome(program uint32, number uint64, status int, contentType string, body []byte) Outcome {
	return Outcome{
		program: program, number: number, verdict: VerdictRan,
		status: status, contentType: contentType, body: body,
	}
}

// WithMessage returns a copy with the assistant's message, a JSON object, for
// the history.
func (o Outcome) WithMessage(message []byte) Outcome {
	o.message = message
	return o
}

// WithUsedTokens returns a copy with the tokens that the call used.
func (o Outcome) WithUsedTokens(tokens uint64) Outcome {
	o.usedTokens = tokens
	return o
}

// Program returns the index of the calling program.
func (o Outcome) Program() uint32 { return o.program }

// Number returns the call's number in its program.
func (o Outcome) Number() uint64 { return o.number }

// Verdict reports whether the call may have run.
func (o Outcome) Verdict() Verdict { return o.verdict }

// Code returns the reason of a failure, or the empty code.
func (o Outcome) Code() Code { return o.code }

// Status returns the HTTP status of the response.
func (o Outcome) Status() int { return o.status }

// ContentType returns the media type of the response.
func (o Outcome) ContentType() string { return o.contentType }

// Response returns the complete body of the response.
func (o Outcome) Response() []byte { return o.body }

// Message returns the assistant's message, a JSON object, or nil.
func (o Outcome) Message() []byte { return o.message }

// WithEnd returns a copy that also ends the program for a reason.
func (o Outcome) WithEnd(reason string) Outcome {
	o.endReason = reason
	return o
}

// EndReason returns why the program ends with the call, or the empty string if it
// does not.
func (o Outcome) EndReason() string { return o.endReason }

// UsedTokens returns the prompt and completion tokens that the call used.
func (o Outcome) UsedTokens() uint64 { return o.usedTokens }

// End records that a program accepts no more calls.
type End struct {
	program uint32
	reason  string
}

// NewEnd returns the change that ends a program and its sub-agents.
func NewEnd(program uint32, reason string) End {
	return End{program: program, reason: reason}
}

// Program returns the index of the program that ends.
func (e End) Program() uint32 { return e.program }

// Reason returns why the program ends.
func (e End) Reason() string { return e.reason }
