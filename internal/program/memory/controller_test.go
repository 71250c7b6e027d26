package memory_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/events"
	"hawthornrail.example/hawthornrail/internal/program/memory"
	"pgregory.net/rapid"
)

// fleet simulates a home with programs and engines that hold memory for them.
type fleet struct {
	mu                 sync.Mutex
	finished           []hawthornrail.FinishedProgram
	live               map[string]bool
	held               map[string]map[string]bool
	disconnected       map[string]bool
	losesConfirmations bool
	violation          error
}

var engines = []string{"e1", "e2"}

func newFleet() *fleet {
	f := &fleet{live: map[string]bool{}, held: map[string]map[string]bool{}, disconnected: map[string]bool{}}
	for _, e := range engines {
		f.held[e] = map[string]bool{}
	}
	return f
}

// Snapshot returns a configuration with the engines.
func (f *fleet) Snapshot() *hawthornrail.Snapshot {
	var endpoints []hawthornrail.Endpoint
	for _, e := range engines {
		endpoints = append(endpoints, hawthornrail.NewEndpoint(e, hawthornrail.EngineEndpoint, "dc1", "", nil))
	}
	return hawthornrail.NewSnapshot(1, nil, nil, endpoints, nil)
}

// Age returns 0.
func (f *fleet) Age() time.Duration { return 0 }

// Finished returns the programs that ended.
func (f *fleet) Finished() []hawthornrail.FinishedProgram { return f.finished }

// Release removes the memory that an engine holds for a program.
func (f *fleet) Release(_ context.Context, e hawthornrail.Endpoint, program string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.live[program] {
		f.violation = errors.New("memory of a live program released")
	}
	if f.disconnected[e.Name()] {
		return errors.New("cut")
	}
	delete(f.held[e.Name()], program)
	if f.losesConfirmations {
		return errors.New("confirmation lost")
	}
	return nil
}

// ProgramsInMemory returns the programs for which an engine holds memory.
func (f *fleet) ProgramsInMemory(_ context.Context, e hawthornrail.Endpoint) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected[e.Name()] {
		return nil, errors.New("cut")
	}
	var programs []string
	for p := range f.held[e.Name()] {
		programs = append(programs, p)
	}
	return programs, nil
}

func (f *fleet) start(number uint64) hawthornrail.ProgramID {
	id := hawthornrail.NewProgramID(hawthornrail.NewInstance("vm1", "dc1", 1), number, "team", []byte("secret"))
	f.live[id.String()] = true
	for _, e := range engines {
		f.held[e][id.String()] = true
	}
	return id
}

func (f *fleet) end(id hawthornrail.ProgramID) {
	delete(f.live, id.String())
	f.finished = append(f.finished, hawthornrail.NewFinishedProgram(id, engines))
}

func (f *fleet) controller(clock hawthornrail.Clock) *memory.Controller {
	return memory.New(f, f, f, clock, events.Discard())
}

// runRounds runs n rounds of a controller and a sweep.
func runRounds(c *memory.Controller, clock *clockwork.FakeClock, n int) {
	for range n {
		clock.Advance(time.Second)
		c.Release(context.Background())
	}
	c.Sweep(context.Background())
	c.Release(context.Background())
}

func (f *fleet) assertHeld(t *testing.T, want int) {
	t.Helper()
	got := 0
	for _, programs := range f.held {
		got += len(programs)
	}
	if got != want || f.violation != nil {
		t.Errorf("%d holdings, want %d; %v", got, want, f.violation)
	}
}

func TestRelease(t *testing.T) {
	cases := map[string]func(f *fleet, c *memory.Controller, clock *clockwork.FakeClock){
		"ended": func(*fleet, *memory.Controller, *clockwork.FakeClock) {},
		"confirmation lost for a while": func(f *fleet, c *memory.Controller, clock *clockwork.FakeClock) {
			f.losesConfirmations = true
			runRounds(c, clock, 5)
			if c.Unconfirmed() != len(engines) {
				panic("taken as confirmed")
			}
			f.losesConfirmations = false
		},
		"engine disconnected for a while": func(f *fleet, c *memory.Controller, clock *clockwork.FakeClock) {
			f.disconnected["e1"] = true
			runRounds(c, clock, 100)
			f.disconnected["e1"] = false
		},
		"response completed after the release": func(f *fleet, c *memory.Controller, clock *clockwork.FakeClock) {
			runRounds(c, clock, 5)
			f.held["e2"][f.finished[0].ID().String()] = true
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			f, clock := newFleet(), clockwork.NewFakeClock()
			c := f.controller(clock)
			live := f.start(1)
			f.end(f.start(2))
			fault(f, c, clock)
			runRounds(c, clock, 60)
			f.assertHeld(t, len(engines))
			if c.Unconfirmed() != 0 || !f.live[live.String()] {
				t.Errorf("%d unconfirmed", c.Unconfirmed())
			}
		})
	}
	t.Run("home replaced", func(t *testing.T) {
		f, clock := newFleet(), clockwork.NewFakeClock()
		f.end(f.start(1))
		f.disconnected["e1"], f.disconnected["e2"] = true, true
		runRounds(f.controller(clock), clock, 5)
		f.disconnected["e1"], f.disconnected["e2"] = false, false
		runRounds(f.controller(clock), clock, 5)
		f.assertHeld(t, 0)
	})
}

// No engine memory remains allocated for ended programs, and none of a live
// program is released, in whatever order engines fail and programs end.
func TestMemoryUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, clock := newFleet(), clockwork.NewFakeClock()
		c := f.controller(clock)
		var live []hawthornrail.ProgramID
		for n := range rapid.Uint64Range(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				live = append(live, f.start(n))
			case 1:
				if len(live) > 0 {
					f.end(live[0])
					live = live[1:]
				}
			case 2:
				f.disconnected[rapid.SampledFrom(engines).Draw(t, "engine")] = rapid.Bool().Draw(t, "cut")
			case 3:
				f.losesConfirmations = rapid.Bool().Draw(t, "loses")
			case 4:
				c = f.controller(clock)
			case 5:
				if len(f.finished) > 0 {
					f.held["e1"][f.finished[0].ID().String()] = true
				}
			default:
				runRounds(c, clock, rapid.IntRange(1, 20).Draw(t, "rounds"))
			}
		}
		f.disconnected, f.losesConfirmations = map[string]bool{}, false
		runRounds(c, clock, 40)
		held := len(f.held["e1"]) + len(f.held["e2"])
		if f.violation != nil || held != len(live)*len(engines) || c.Unconfirmed() != 0 {
			t.Fatalf("%d holdings of %d live programs, %d unconfirmed: %v", held, len(live), c.Unconfirmed(), f.violation)
		}
	})
}
