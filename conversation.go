package hawthornrail

import (
	"context"
	"time"
)

// TurnRef identifies a turn of a conversation by its team and the id of the request that
// brought its response.
type TurnRef struct {
	team string
	id   string
}

// NewTurnRef returns the identity of a turn.
func NewTurnRef(team, id string) TurnRef { return TurnRef{team: team, id: id} }

// Team returns the team of the turn.
func (r TurnRef) Team() string { return r.team }

// ID returns the id of the request that brought the turn's response.
func (r TurnRef) ID() string { return r.id }

// Turn is a turn of a conversation: what its caller sent and what the endpoint
// responded.
type Turn struct {
	ref          TurnRef
	parent       string
	placementKey string
	input        []byte
	output       []byte
	completedAt  time.Time
	retention    time.Duration
}

// NewTurn returns a turn without a parent; output is the data of each event of its
// response, each followed by a line feed.
func NewTurn(ref TurnRef, input, output []byte) Turn {
	return Turn{ref: ref, input: input, output: output}
}

// WithParent returns a copy that continues from the turn with an id.
func (t Turn) WithParent(parent string) Turn {
	t.parent = parent
	return t
}

// WithOutput returns a copy with the data of each event of its response, each followed by
// a line feed.
func (t Turn) WithOutput(output []byte) Turn {
	t.output = output
	return t
}

// WithPlacementKey returns a copy with the key that determines which VMs store it.
func (t Turn) WithPlacementKey(key string) Turn {
	t.placementKey = key
	return t
}

// WithRetention returns a copy that was completed at a time and is kept for a while from
// then on.
func (t Turn) WithRetention(completedAt time.Time, retention time.Duration) Turn {
	t.completedAt, t.retention = completedAt, retention
	return t
}

// Ref returns the identity of the turn.
func (t Turn) Ref() TurnRef { return t.ref }

// Parent returns the id of the turn that it continues from, or the empty string.
func (t Turn) Parent() string { return t.parent }

// PlacementKey returns the key that determines which VMs store the turn; a turn has the
// key of its parent.
func (t Turn) PlacementKey() string { return t.placementKey }

// Input returns what the caller sent.
func (t Turn) Input() []byte { return t.input }

// Output returns the data of each event of the response, each followed by a line feed.
func (t Turn) Output() []byte { return t.output }

// CompletedAt returns when the response ended.
func (t Turn) CompletedAt() time.Time { return t.completedAt }

// Retention returns how long the turn is kept after its response.
func (t Turn) Retention() time.Duration { return t.retention }

// Size returns the length of the input and the output in bytes.
func (t Turn) Size() int64 { return int64(len(t.input)) + int64(len(t.output)) }

// Chain is the content of a turn and all its ancestors.
type Chain struct {
	content      []byte
	placementKey string
	turns        int
}

// NewChain returns a chain of turns whose content is the input and output of each, the
// oldest first.
func NewChain(content []byte, placementKey string, turns int) Chain {
	return Chain{content: content, placementKey: placementKey, turns: turns}
}

// Content returns the input and output of each turn, the oldest first; it is the caller's.
func (c Chain) Content() []byte { return c.content }

// PlacementKey returns the key that determines which VMs store the chain.
func (c Chain) PlacementKey() string { return c.placementKey }

// Turns returns the number of turns.
func (c Chain) Turns() int { return c.turns }

// ChainQuery asks for a turn and all its ancestors.
type ChainQuery struct {
	ref     TurnRef
	program string
	room    int
	admit   func(bytes int) error
}

// NewChainQuery returns a query for a turn that the program with an id continues from.
func NewChainQuery(ref TurnRef, program string) ChainQuery {
	return ChainQuery{ref: ref, program: program}
}

// WithAdmission returns a copy whose content is held only once admit has returned no error for
// its size in bytes; a further call is for further bytes.
func (q ChainQuery) WithAdmission(admit func(bytes int) error) ChainQuery {
	q.admit = admit
	return q
}

// WithRoom returns a copy whose content has room for further bytes behind it.
func (q ChainQuery) WithRoom(bytes int) ChainQuery {
	q.room = bytes
	return q
}

// Room returns the number of bytes for which the content has room behind it.
func (q ChainQuery) Room() int { return q.room }

// Ref returns the identity of the last turn.
func (q ChainQuery) Ref() TurnRef { return q.ref }

// Program returns the id of the program that continues from the turn.
func (q ChainQuery) Program() string { return q.program }

// Admit returns the error of the one who asks if content of a size in bytes may not be held.
func (q ChainQuery) Admit(bytes int) error {
	if q.admit == nil {
		return nil
	}
	return q.admit(bytes)
}

// KeptTurn is a turn in the platform's store, with the revision of its object there.
type KeptTurn struct {
	turn     Turn
	revision uint64
}

// NewKeptTurn returns a turn of an object that has a revision.
func NewKeptTurn(t Turn, revision uint64) KeptTurn { return KeptTurn{turn: t, revision: revision} }

// Turn returns the turn.
func (k KeptTurn) Turn() Turn { return k.turn }

// Revision returns the revision of the object.
func (k KeptTurn) Revision() uint64 { return k.revision }

// TurnKeeper keeps turns in the platform's store until enough disks have them.
type TurnKeeper interface {
	// MaxBytes returns the size in bytes of the largest turn that can be kept.
	MaxBytes() int64
	// Keep stores a turn, which is durable once there is no error.
	Keep(ctx context.Context, t Turn) (KeptTurn, error)
	// Kept returns a turn; ok is false if it is certain that the store has none.
	Kept(ctx context.Context, ref TurnRef) (k KeptTurn, ok bool, err error)
	// KeptCached is like Kept but cheaper; its reply may be some seconds old.
	KeptCached(ctx context.Context, ref TurnRef) (k KeptTurn, ok bool, err error)
	// KeptPage returns kept turns after a position, which is empty at the start, and the
	// position of the next page, which is empty at the end. They may be some seconds old.
	KeptPage(ctx context.Context, after string) (page []KeptTurn, next string, err error)
	// Remove removes a turn unless its object was changed since.
	Remove(ctx context.Context, k KeptTurn) error
}

// TurnEvent is one event of a turn's response; its data is what the conversation holds of it.
type TurnEvent struct {
	id   string
	data []byte
}

// NewTurnEvent returns an event with its id and its data, each line of which ends with a
// line feed.
func NewTurnEvent(id string, data []byte) TurnEvent { return TurnEvent{id: id, data: data} }

// ID returns the id of the event, or the empty string.
func (e TurnEvent) ID() string { return e.id }

// Data returns what the conversation holds of the event.
func (e TurnEvent) Data() []byte { return e.data }

// TurnRecorder keeps the events of one turn under way at other VMs.
type TurnRecorder interface {
	// Record keeps further events, and returns once another VM has them or after a moment.
	Record(ctx context.Context, events []TurnEvent)
}

// TurnsUnderWay keeps the events of turns at other VMs while their responses are under way,
// so that a turn can be stored whole whose caller takes its stream up elsewhere.
type TurnsUnderWay interface {
	// Begin returns the recorder of a turn whose response begins.
	Begin(ref TurnRef) TurnRecorder
	// Resume returns the events of a turn up to the last one that its caller has, and the
	// recorder of those that follow; ref names the request that brought the first event, and
	// request is the one that takes the stream up. ok is false if no VM that replies has all
	// events.
	Resume(ctx context.Context, ref TurnRef, request, lastEvent string) (recorder TurnRecorder, events []TurnEvent, ok bool)
}

// Conversations stores the turns of conversations on the disks of VMs.
type Conversations interface {
	// Available returns a Failure if a turn with an input of a size in bytes can't be
	// stored durably now.
	Available(inputBytes int64) error
	// Chain returns a turn and its ancestors. It returns a Failure with CodeUnknownTurn only
	// if it is certain that the team has no such turn, and the error of the query if the
	// content is not admitted.
	Chain(ctx context.Context, q ChainQuery) (Chain, error)
	// Save stores a completed turn and returns once it is durable, or a Failure if it can't
	// be made so; the turn does not count then.
	Save(ctx context.Context, t Turn) error
}
