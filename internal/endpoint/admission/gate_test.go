package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"hawthornrail.example/hawthornrail/internal/endpoint/admission"
	"hawthornrail.example/hawthornrail/internal/policy/overload"
)

const (
	calmTook = 400 * time.Millisecond
	step     = 10 * time.Millisecond
	slots    = 8
)

func request(started bool) overload.Request {
	return overload.NewRequest("t", "r", 3, started, time.Second)
}

// serve serves a request of a service in each step; every fifth starts a program.
func serve(g *admission.Gate, clock *clockwork.FakeClock, service string, requests, load int, took time.Duration) {
	for i := range requests {
		clock.Advance(step)
		if g.Admit(service, request(i%5 > 0)).Admitted() {
			g.Report(service, min(load, slots), max(0, load-slots), slots)
			g.Done(service, true, took)
		}
	}
}

func admitted(g *admission.Gate, service string) (n int) {
	for range 100 {
		if g.Admit(service, request(false)).Admitted() {
			n++
			g.Done(service, false, 0)
		}
	}
	return n
}

// Guards against the overload of one service that has requests of another refused.
func TestServicesAreSeparate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := admission.New(clock, overload.DefaultParams())
	serve(g, clock, "a", 1000, 5, calmTook)
	serve(g, clock, "b", 1000, 5, calmTook)
	serve(g, clock, "a", 300, 24, 3*calmTook)
	if got := admitted(g, "a"); got > 20 {
		t.Errorf("%d of 100 new programs are admitted at the overloaded service", got)
	}
	if got := admitted(g, "b"); got != 100 {
		t.Errorf("%d of 100 new programs are admitted at the other service", got)
	}
}

// Guards against memory that grows with the names of services, and against refusals of
// those for which no state is kept.
func TestManyServices(t *testing.T) {
	g := admission.New(clockwork.NewFakeClock(), overload.DefaultParams())
	for i := range 1000 {
		if !g.Admit(fmt.Sprint(i), request(false)).Admitted() {
			t.Fatal("a request is refused without observations")
		}
	}
}
