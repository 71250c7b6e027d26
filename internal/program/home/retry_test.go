package home_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/observe/traces"
	"hawthornrail.example/hawthornrail/internal/program/home"
)

// oneEndpoint returns an endpoint for the first attempt of a call only.
type oneEndpoint struct{ picker }

func (p oneEndpoint) Pick(q hawthornrail.PickQuery) (hawthornrail.Endpoint, error) {
	if len(q.Excluded()) > 0 {
		return hawthornrail.Endpoint{}, hawthornrail.NotRun(hawthornrail.CodeNoEndpoint, "none left")
	}
	return p.picker.Pick(q)
}

type acceptAll struct{ hawthornrail.Replicator }

func (acceptAll) Holding() hawthornrail.Instance   { return hawthornrail.NewInstance("vm1", "dc1", 1) }
func (acceptAll) Holds(hawthornrail.Instance) bool { return true }
func (acceptAll) Replicate(_ context.Context, _ hawthornrail.Step, apply func() error) error {
	return apply()
}

// failing fails every attempt with a fixed verdict.
type failing hawthornrail.Verdict

func (f failing) Dispatch(context.Context, hawthornrail.Endpoint, *hawthornrail.Request, string, hawthornrail.ResponseWriter) (hawthornrail.Response, error) {
	return hawthornrail.Response{}, hawthornrail.NewFailure(hawthornrail.CodeEndpointFailed, hawthornrail.Verdict(f), errors.New("lost"))
}

// A rejected retry is not reported as "not run" if the first attempt may have
// run.
func TestVerdictAfterRetry(t *testing.T) {
	for _, first := range []hawthornrail.Verdict{hawthornrail.VerdictNotRun, hawthornrail.VerdictMayHaveRun} {
		t.Run("first try "+first.String(), func(t *testing.T) {
			h := home.New(home.Dependencies{
				Self: hawthornrail.NewInstance("vm1", "dc1", 1), Secret: []byte("secret"), Clock: clockwork.NewFakeClock(),
				Replicator: acceptAll{}, Queue: unbounded{}, Picker: oneEndpoint{}, Engines: failing(first),
				Tracer: traces.NewNoop(), Log: events.Discard(), RetryLimit: 2, DefaultReply: 20,
			})
			budget := hawthornrail.NewBudget(10, 10_000, time.Hour, 0, 0)
			id, err := h.Create(context.Background(), "team", "deployment", budget)
			if err != nil {
				t.Fatal(err)
			}
			r := hawthornrail.NewModelRequest("counter", []byte(`{"messages":[{"role":"user","content":"hello"}]}`), false)
			r.Identify("", hawthornrail.NewDeployment("deployment", "team", 1))
			r.SetProgram(id.String(), 1)
			if got := hawthornrail.VerdictOf(h.Serve(context.Background(), r, &collector{})); got != first {
				t.Errorf("got %s, want %s", got, first)
			}
		})
	}
}
