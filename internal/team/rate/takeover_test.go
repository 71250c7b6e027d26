package rate_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// successor is a VM with a disk that may take over the only share of a team's rate, 2 requests
// a second and a burst of 20.
type successor struct {
	clock    *clockwork.FakeClock
	limiter  *rate.Limiter
	since    time.Time
	held     bool
	requests uint64
}

func newSuccessor() *successor {
	s := &successor{clock: clockwork.NewFakeClock()}
	s.since = s.clock.Now()
	self := hawthornrail.NewInstance("dc1", "dc1", 1)
	table := members.NewTable(hawthornrail.NewMember(self, "dc1", false, time.Time{}))
	s.limiter = rate.NewLimiter(self, s, table, rate.NewClient(nil), s.clock)
	s.limiter.SetRole(s)
	return s
}

func (s *successor) HoldsShares() (time.Time, bool) { return s.since, s.held }

func (s *successor) Snapshot() *hawthornrail.Snapshot {
	team := hawthornrail.NewDeployment("team", "team", 1).WithRate(2, 20)
	return hawthornrail.NewSnapshot(1, []hawthornrail.Deployment{team}, nil, nil, []hawthornrail.VM{hawthornrail.NewVM("dc1", "dc1", "dc1", false)})
}

func (s *successor) Age() time.Duration { return 0 }

// assertLends borrows as much as possible after a time and checks how much that is.
func (s *successor) assertLends(t *testing.T, after time.Duration, least, most float64) {
	t.Helper()
	s.clock.Advance(after)
	lent := 0.0
	for range 20 {
		s.requests++
		reply := s.limiter.Lend(hawthornrail.NewInstance("entry", "dc1", 1), &vmpb.Borrow{Deployment: "team", Number: s.requests, Amount: 20})
		lent += reply.GetAmount()
	}
	if lent < least || lent > most {
		t.Errorf("%.2f tokens are lent, want %.0f to %.0f", lent, least, most)
	}
}

// Guards against review case 14: a share of a rate that exists at a holder and, full, at the
// VM that takes its place.
func TestTakenOverShareIsEmpty(t *testing.T) {
	const idle = time.Minute
	s := newSuccessor()
	step := func(name string, change func(), after time.Duration, least, most float64) {
		t.Run(name, func(t *testing.T) {
			change()
			s.assertLends(t, after, least, most)
		})
	}
	takeOver := func() { s.since, s.held = s.clock.Now(), true }
	step("beside the holder", func() {}, idle, 0, 0)
	step("right after the takeover", takeOver, 0, 0, 0)
	step("grants of the predecessor may be in use", func() {}, time.Second, 0, 0)
	step("it fills at the rate", func() {}, 5*time.Second, 9, 10)
	step("suspended, in doubt", func() { s.held = false }, idle, 0, 0)
	step("it was not replaced", func() { s.held = true }, 0, 19, 20)
	step("replaced", func() { s.held = false }, idle, 0, 0)
	step("it takes over again", takeOver, 0, 0, 0)
	step("it fills at the rate again", func() {}, 3*time.Second, 3, 4)
}
