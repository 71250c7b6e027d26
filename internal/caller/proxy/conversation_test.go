package proxy_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/proxy"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

const maxChainBytes = 400

// turnMemory is stored conversations in a map.
type turnMemory struct {
	mu      sync.Mutex
	turns   map[hawthornrail.TurnRef]hawthornrail.Turn
	calls   int
	latency time.Duration
	saveErr error
	away    error
}

func newTurnMemory() *turnMemory {
	return &turnMemory{turns: make(map[hawthornrail.TurnRef]hawthornrail.Turn)}
}

func (m *turnMemory) Available(int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	return m.away
}

func (m *turnMemory) Chain(_ context.Context, q hawthornrail.ChainQuery) (hawthornrail.Chain, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	ref := q.Ref()
	turn, ok := m.turns[ref]
	if !ok {
		return hawthornrail.Chain{}, hawthornrail.NotRun(hawthornrail.CodeUnknownTurn, "no turn %s", ref.ID())
	}
	key, turns := turn.PlacementKey(), 0
	var content []byte
	for ; ok; turn, ok = m.turns[hawthornrail.NewTurnRef(ref.Team(), turn.Parent())] {
		content = slices.Concat(turn.Input(), turn.Output(), content)
		turns++
	}
	if err := q.Admit(len(content)); err != nil {
		return hawthornrail.Chain{}, err
	}
	return hawthornrail.NewChain(content, key, turns), nil
}

func (m *turnMemory) Save(_ context.Context, t hawthornrail.Turn) error {
	time.Sleep(m.latency)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.saveErr == nil {
		m.turns[t.Ref()] = t
	}
	return m.saveErr
}

// ids returns the IDs of the turns that are stored.
func (m *turnMemory) ids() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for ref := range maps.Keys(m.turns) {
		ids = append(ids, ref.Team()+"/"+ref.ID())
	}
	slices.Sort(ids)
	return ids
}

// endpoint responds to all requests in the same way, and records their bodies.
type endpoint struct {
	status int
	stream string
	// end is the error that ends the stream, and whole a body that is no stream.
	end    error
	whole  string
	bodies []string
	last   *hawthornrail.ForwardRequest
}

func (e *endpoint) Forward(_ context.Context, r *hawthornrail.ForwardRequest) (*hawthornrail.ForwardResponse, error) {
	e.bodies, e.last = append(e.bodies, string(r.Body())), r
	if e.whole != "" || e.status != http.StatusOK {
		return hawthornrail.NewForwardResponse(e.status, nil, []byte(e.whole)), nil
	}
	return hawthornrail.NewForwardStream(e.status, nil, io.NopCloser(io.MultiReader(strings.NewReader(e.stream), failing{e.end}))), nil
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// turnBed is a filter between callers and an endpoint. It is the other VMs, too, which keep
// the events of turns under way.
type turnBed struct {
	memory   *turnMemory
	endpoint *endpoint
	filter   *proxy.Conversations
	route    hawthornrail.Route
	// events are the events of the turn that began last.
	ref    hawthornrail.TurnRef
	events []hawthornrail.TurnEvent
}

func (b *turnBed) Begin(ref hawthornrail.TurnRef) hawthornrail.TurnRecorder {
	b.ref, b.events = ref, nil
	return b
}

func (b *turnBed) Record(_ context.Context, events []hawthornrail.TurnEvent) {
	b.events = append(b.events, events...)
}

func (b *turnBed) Resume(_ context.Context, ref hawthornrail.TurnRef, _, lastEvent string) (hawthornrail.TurnRecorder, []hawthornrail.TurnEvent, bool) {
	n := slices.IndexFunc(b.events, func(e hawthornrail.TurnEvent) bool { return e.ID() == lastEvent })
	if ref != b.ref || n < 0 {
		return nil, nil, false
	}
	b.events = b.events[:n+1]
	return b, slices.Clone(b.events), true
}

func newTurnBed() *turnBed {
	b := &turnBed{memory: newTurnMemory(), endpoint: &endpoint{status: http.StatusOK, end: io.EOF}}
	b.filter = proxy.NewConversations(proxy.ConversationDependencies{
		Conversations: b.memory, Clock: clock.Real(), Metrics: metrics.NewConversations(gometrics.NewRegistry()),
		MaxChainBytes: maxChainBytes, UnderWay: b,
	})
	b.route = hawthornrail.NewRoute("turns", "host", "/turns/", hawthornrail.StreamRoute, nil).WithConversations(time.Minute)
	return b
}

func (b *turnBed) request(team, id, parent, input string) *hawthornrail.ForwardRequest {
	r := hawthornrail.NewForwardRequest("POST", "host", "/turns/x", "/turns/x", []byte(input), time.Now())
	r.SetID(id)
	r.SetCall(hawthornrail.NewProgramCall("program", "", 0).WithParent(parent))
	r.Identify(hawthornrail.NewDeployment(team, team, 1))
	r.Match(b.route, 1)
	return r
}

// send returns the body that a caller gets, and the error that ends or refuses the
// response.
func (b *turnBed) send(r *hawthornrail.ForwardRequest) (string, error) {
	response, err := b.filter.Filter(context.Background(), r, b.endpoint)
	if err != nil || response.Stream() == nil {
		return "", err
	}
	defer func() { _ = response.Stream().Close() }()
	body, err := io.ReadAll(response.Stream())
	return string(body), err
}

func (b *turnBed) turn(t *testing.T, id, parent, input, stream string) {
	t.Helper()
	b.endpoint.stream = stream
	if body, err := b.send(b.request("team", id, parent, input)); err != nil || body != stream {
		t.Fatalf("turn %s: body %q, error %v", id, body, err)
	}
}

// lastBody returns the body that the endpoint got last.
func (b *turnBed) lastBody() string { return b.endpoint.bodies[len(b.endpoint.bodies)-1] }

func assertFailure(t *testing.T, err error, code hawthornrail.Code) {
	t.Helper()
	f := hawthornrail.AsFailure(err)
	if err == nil || f.Code() != code || f.Verdict() != hawthornrail.VerdictNotRun {
		t.Errorf("error %v, want %s, not run", err, code)
	}
}

func (b *turnBed) assertTurns(t *testing.T, ids ...string) {
	t.Helper()
	if got := b.memory.ids(); !slices.Equal(got, ids) {
		t.Errorf("turns %v, want %v", got, ids)
	}
}

// Guards against an endpoint that gets a part of a conversation, or another order, and
// against forks that mix.
func TestEndpointGetsWholeChain(t *testing.T) {
	b := newTurnBed()
	b.turn(t, "t1", "", "one", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	b.turn(t, "t2", "t1", "two", "data:c\n\n")
	if got, want := b.lastBody(), "onea\nb\ntwo"; got != want {
		t.Errorf("body %q, want %q", got, want)
	}
	b.turn(t, "t3", "t2", "three", "data: d\ndata: e\n\n")
	if got, want := b.lastBody(), "onea\nb\ntwoc\nthree"; got != want {
		t.Errorf("body %q, want %q", got, want)
	}
	b.turn(t, "fork", "t2", "other", ": nothing\n\n")
	if got, want := b.lastBody(), "onea\nb\ntwoc\nother"; got != want {
		t.Errorf("body %q, want %q", got, want)
	}
	b.turn(t, "t4", "t3", "four", "")
	if got, want := b.lastBody(), "onea\nb\ntwoc\nthreed\ne\nfour"; got != want {
		t.Errorf("body %q, want %q", got, want)
	}
	b.turn(t, "t5", "fork", "five", "")
	if got, want := b.lastBody(), "onea\nb\ntwoc\notherfive"; got != want {
		t.Errorf("body %q, want %q", got, want)
	}
	if key := b.memory.turns[hawthornrail.NewTurnRef("team", "t5")].PlacementKey(); key != "program" {
		t.Errorf("placement key %q", key)
	}
}

// Guards against a caller's retry with an ID of its own that changes the chain of the
// first attempt.
func TestTurnIsSentTwice(t *testing.T) {
	b := newTurnBed()
	b.turn(t, "t1", "", "one", "data: a\n\n")
	b.turn(t, "t2a", "t1", "two", "data: first\n\n")
	b.turn(t, "t2b", "t1", "two", "data: second\n\n")
	b.turn(t, "t3", "t2a", "three", "")
	if got, want := b.lastBody(), "onea\ntwofirst\nthree"; got != want {
		t.Errorf("body %q, want %q", got, want)
	}
}

// Guards against a team that continues from another team's turn.
func TestTurnOfAnotherTeam(t *testing.T) {
	b := newTurnBed()
	b.turn(t, "t1", "", "secret", "data: a\n\n")
	_, err := b.send(b.request("other", "t2", "t1", "two"))
	assertFailure(t, err, hawthornrail.CodeUnknownTurn)
	if len(b.endpoint.bodies) != 1 {
		t.Errorf("the endpoint got %q", b.endpoint.bodies)
	}
}

// Guards against a request that is changed, or that waits for other VMs, although its
// route has no conversations.
func TestRouteWithoutConversations(t *testing.T) {
	b := newTurnBed()
	b.route = b.route.WithConversations(0)
	b.memory.away = errors.New("no VM with a disk")
	b.turn(t, "t1", "unknown", "one", "data: a\n\n")
	if b.lastBody() != "one" || b.memory.calls != 0 {
		t.Errorf("body %q, %d calls", b.lastBody(), b.memory.calls)
	}
}

// Guards against a request that runs although its turn can't be stored, and whose response
// has to be broken off.
func TestNoVMWithDisk(t *testing.T) {
	b := newTurnBed()
	b.memory.away = hawthornrail.NotRun(hawthornrail.CodeTurnUncertain, "no VM with a disk")
	_, err := b.send(b.request("team", "t1", "", "one"))
	assertFailure(t, err, hawthornrail.CodeTurnUncertain)
	if len(b.endpoint.bodies) != 0 {
		t.Errorf("the endpoint got %q", b.endpoint.bodies)
	}
}

// Guards against events that are held back, or a response that ends before its turn is
// stored.
func TestOnlyTheEndWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTurnBed()
		b.memory.latency = 80 * time.Millisecond
		b.endpoint.stream = "data: a\n\n"
		start := time.Now()
		response, err := b.filter.Filter(context.Background(), b.request("team", "t1", "", "one"), b.endpoint)
		if err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 100)
		n, err := response.Stream().Read(buffer)
		if string(buffer[:n]) != b.endpoint.stream || err != nil || time.Since(start) != 0 {
			t.Errorf("read %q, %v after %v", buffer[:n], err, time.Since(start))
		}
		b.assertTurns(t)
		n, err = response.Stream().Read(buffer)
		if n != 0 || !errors.Is(err, io.EOF) || time.Since(start) != b.memory.latency {
			t.Errorf("read %d bytes, %v after %v", n, err, time.Since(start))
		}
		b.assertTurns(t, "team/t1")
		if turn := b.memory.turns[hawthornrail.NewTurnRef("team", "t1")]; !turn.CompletedAt().Equal(start) || turn.Retention() != time.Minute {
			t.Errorf("completed at %v, kept for %v", turn.CompletedAt(), turn.Retention())
		}
	})
}

// Guards against a response that ends as if complete although its turn is not stored. The
// cause may be the end of a connection to a VM, which must not look like that of the
// stream.
func TestTurnThatIsNotStored(t *testing.T) {
	b := newTurnBed()
	b.memory.saveErr = fmt.Errorf("VM with a disk: %w", io.EOF)
	b.endpoint.stream = "data: a\n\n"
	response, err := b.filter.Filter(context.Background(), b.request("team", "t1", "", "one"), b.endpoint)
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 100)
	if n, err := response.Stream().Read(buffer); string(buffer[:n]) != b.endpoint.stream || err != nil {
		t.Errorf("read %q, %v", buffer[:n], err)
	}
	for range 2 {
		if _, err := response.Stream().Read(buffer); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("the stream ended with %v", err)
		}
	}
	if b.memory.calls != 2 {
		t.Errorf("%d calls, want one for the availability and one for the turn", b.memory.calls)
	}
}

// Guards against turns that do not count and are stored nevertheless: later ones would
// continue from a part of a response.
func TestNoTurns(t *testing.T) {
	for name, prepare := range map[string]func(b *turnBed, r *hawthornrail.ForwardRequest){
		"broken off":     func(b *turnBed, _ *hawthornrail.ForwardRequest) { b.endpoint.end = errors.New("endpoint failed") },
		"whole response": func(b *turnBed, _ *hawthornrail.ForwardRequest) { b.endpoint.whole = "data: a\n\n" },
		"refused":        func(b *turnBed, _ *hawthornrail.ForwardRequest) { b.endpoint.status = http.StatusServiceUnavailable },
		"resumed":        func(_ *turnBed, r *hawthornrail.ForwardRequest) { r.SetResumed("7", "t0") },
		"no id":          func(_ *turnBed, r *hawthornrail.ForwardRequest) { r.SetID("") },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTurnBed()
			b.endpoint.stream = "data: a\n\n"
			r := b.request("team", "t1", "", "one")
			prepare(b, r)
			_, err := b.send(r)
			if (err != nil) != (name == "broken off") {
				t.Errorf("error %v", err)
			}
			b.assertTurns(t)
		})
	}
	t.Run("caller leaves", func(t *testing.T) {
		b := newTurnBed()
		b.endpoint.stream = "data: a\n\n"
		response, err := b.filter.Filter(context.Background(), b.request("team", "t1", "", "one"), b.endpoint)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := response.Stream().Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
		_ = response.Stream().Close()
		b.assertTurns(t)
	})
}

// Guards against review case 12: the next turn gets 404 after a turn whose stream its caller
// took up, or continues from a part of it.
func TestTurnWhoseStreamIsTakenUp(t *testing.T) {
	b := newTurnBed()
	b.route = b.route.WithResumable(true)
	b.endpoint.stream, b.endpoint.end = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", errors.New("caller has left")
	if _, err := b.send(b.request("team", "t1", "", "one")); err == nil {
		t.Error("the response is complete")
	}
	takeUp := func(team, id, lastEvent, stream string) error {
		r := b.request(team, id, "", "one")
		r.SetResumed(lastEvent, stream)
		_, err := b.send(r)
		return err
	}
	b.endpoint.stream = "id: 3\ndata: d\n\n"
	if takeUp("team", "t2", "2", "t1") == nil {
		t.Error("the response is complete")
	}
	b.endpoint.stream, b.endpoint.end = "id: 4\ndata: e\n\n", io.EOF
	if err := takeUp("team", "t3", "3", "t1"); err != nil {
		t.Error(err)
	}
	b.assertTurns(t, "team/t3")
	b.turn(t, "t4", "t3", "two", "")
	if got, want := b.lastBody(), "onea\nb\nd\ne\ntwo"; got != want {
		t.Errorf("body %q, want %q", got, want)
	}
	t.Run("events that no VM has", func(t *testing.T) {
		runs := len(b.endpoint.bodies)
		assertFailure(t, takeUp("team", "t5", "7", "t4"), hawthornrail.CodeStreamUnknown)
		assertFailure(t, takeUp("other", "t6", "3", "t1"), hawthornrail.CodeStreamUnknown)
		if len(b.endpoint.bodies) != runs {
			t.Errorf("the endpoint got %q", b.endpoint.bodies[runs:])
		}
	})
}

// Guards against a chain or a turn that fills the memory of a VM.
func TestChainIsBounded(t *testing.T) {
	b := newTurnBed()
	b.turn(t, "t1", "", strings.Repeat("a", 390), "data: b\n\n")
	b.turn(t, "t2", "t1", "12345678", "")
	_, err := b.send(b.request("team", "t3", "t1", "123456789"))
	assertFailure(t, err, hawthornrail.CodeBodyTooLarge)
	b.endpoint.stream = "data: " + strings.Repeat("c", 400) + "\n\n"
	if _, err := b.send(b.request("team", "t4", "", "one")); err == nil {
		t.Error("the response of a turn that is too long ended as if complete")
	}
	b.assertTurns(t, "team/t1", "team/t2")
}

// room is the memory of a request; it implements hawthornrail.RequestMemory.
type room struct{ left int }

func (r *room) Grow(bytes int) error {
	if bytes > r.left {
		return hawthornrail.NotRun(hawthornrail.CodeOverload, "%d bytes are left", r.left)
	}
	r.left -= bytes
	return nil
}

// Guards against chains and outputs that fill the memory of a VM together. A response whose
// turn does not fit reaches its caller, and does not end as if it were stored.
func TestTurnsCountInMemory(t *testing.T) {
	b := newTurnBed()
	b.turn(t, "t1", "", "one", "data: a\n\n")
	for _, c := range []struct {
		left, rest int
		resumable  bool
	}{{4, 0, false}, {5, 0, false}, {12, 0, false}, {13, 0, false}, {20, 7, false}, {19, 0, true}, {22, 1, true}} {
		b.route = b.route.WithResumable(c.resumable)
		needed := 13
		if c.resumable {
			// The events that other VMs are told.
			needed += 8
		}
		memory := &room{left: c.left}
		r := b.request("team", fmt.Sprintf("child%d", c.left), "t1", "more")
		r.SetMemory(memory)
		b.endpoint.stream = "data: 1234567\n\n"
		body, err := b.send(r)
		switch {
		case c.left < 5:
			assertFailure(t, err, hawthornrail.CodeOverload)
		case c.left < needed:
			if body != b.endpoint.stream || err == nil || hawthornrail.VerdictOf(err) == hawthornrail.VerdictNotRun {
				t.Errorf("body %q, error %v with %d bytes", body, err, c.left)
			}
		case err != nil || memory.left != c.rest:
			t.Errorf("error %v, %d bytes left, want %d", err, memory.left, c.rest)
		}
	}
	b.assertTurns(t, "team/child13", "team/child20", "team/child22", "team/t1")
}

// Guards against a conversation whose turns are all taken for other content, so that one
// that crashes endpoints is not found out, or for the same.
func TestDigestsLeaveOutChain(t *testing.T) {
	b := newTurnBed()
	b.turn(t, "t1", "", "one", "data: a\n\n")
	b.turn(t, "t2", "t1", "two", "")
	want := b.request("team", "t9", "", "two").Digests()
	if b.lastBody() != "onea\ntwo" || b.endpoint.last.Digests() != want {
		t.Errorf("body %q, digests %v, want %v", b.lastBody(), b.endpoint.last.Digests(), want)
	}
}

// Guards against data of events that is read in another way than callers do.
func TestEventData(t *testing.T) {
	for name, c := range map[string]struct{ stream, want string }{
		"one event":               {"data: a\n\n", "a\n"},
		"fields in any order":     {"id: 1\ndata: a\nevent: x\nretry: 3\n\n", "a\n"},
		"several lines":           {"data: a\ndata: b\n\n", "a\nb\n"},
		"no space":                {"data:a\n\n", "a\n"},
		"two spaces":              {"data:  a\n\n", " a\n"},
		"space at the end":        {"data: a \n\n", "a \n"},
		"empty data":              {"data:\n\n", "\n"},
		"only a space":            {"data: \n\n", "\n"},
		"field without a colon":   {"data\n\n", "\n"},
		"comment":                 {": data: a\n\n", ""},
		"event without data":      {"id: 7\n\n", ""},
		"another field's name":    {"database: a\n\nDATA: b\n\n data: c\n\n", ""},
		"carriage returns":        {"data: a\r\ndata: b\r\n\r\ndata: c\r\n\r\n", "a\nb\nc\n"},
		"empty lines":             {"\n\n\ndata: a\n\n\n", "a\n"},
		"colons in the data":      {"data: a: b\n\n", "a: b\n"},
		"event that is not ended": {"data: a\n\ndata: b\n", "a\n"},
		"bytes that are no text":  {"data: \x00\xff\xfe\n\n", "\x00\xff\xfe\n"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTurnBed()
			b.turn(t, "t1", "", "", c.stream)
			if got := b.memory.turns[hawthornrail.NewTurnRef("team", "t1")].Output(); string(got) != c.want {
				t.Errorf("output %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against data that depends on how the stream is divided into parts.
func TestEventDataInAnyParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream, want bytes.Buffer
		for range rapid.IntRange(0, 6).Draw(t, "events") {
			lines := rapid.SliceOfN(rapid.StringMatching(`[a-z: ]{0,9}`), 1, 3).Draw(t, "lines")
			end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
			stream.WriteString(rapid.SampledFrom([]string{"", "id: 3" + end, ": comment" + end}).Draw(t, "before"))
			for _, line := range lines {
				stream.WriteString("data: " + line + end)
				want.WriteString(line + "\n")
			}
			stream.WriteString(end)
		}
		b := newTurnBed()
		b.endpoint.stream = stream.String()
		response, err := b.filter.Filter(context.Background(), b.request("team", "t1", "", ""), b.endpoint)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		for err == nil {
			buffer := make([]byte, rapid.IntRange(1, 20).Draw(t, "part"))
			var n int
			n, err = response.Stream().Read(buffer)
			got.Write(buffer[:n])
		}
		output := b.memory.turns[hawthornrail.NewTurnRef("team", "t1")].Output()
		if got.String() != stream.String() || !bytes.Equal(output, want.Bytes()) {
			t.Errorf("stream %q became %q with the output %q, want %q", stream.String(), got.String(), output, want.String())
		}
	})
}
