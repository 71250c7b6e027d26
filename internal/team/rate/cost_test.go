package rate_test

import (
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

const (
	fullVMs      = 340
	fullCentres  = 8
	fullTeams    = 9900
	fullRequests = 7300.0
	// streamBytes is the size of the frames of a multiplexed stream with one
	// message each way: two opening frames, two with data and two closing ones
	// of 12 bytes each, and the lengths of the messages.
	streamBytes = 6*12 + 2*4
)

func exchangeBytes() int {
	request := &vmpb.Open{Kind: &vmpb.Open_Borrow{Borrow: &vmpb.Borrow{
		Deployment: "deployment-of-team-1234", Number: 1000, Amount: 1.5,
		Settled: []*vmpb.Settlement{{Number: 999}},
	}}}
	reply := &vmpb.BorrowReply{Amount: 1.5, Left: 2.5}
	return proto.Size(request) + proto.Size(reply) + streamBytes
}

// BenchmarkGrantsAtFullSize reports the bytes and messages of grants for each
// VM at full size, extrapolated from one average team whose requests are spread
// evenly over all VMs.
func BenchmarkGrantsAtFullSize(b *testing.B) {
	const length = 1000 * time.Second
	for b.Loop() {
		perTeam := fullRequests / fullTeams
		sim := newSimulation(1, 1.5*perTeam, 10, newVMs(fullVMs, fullCentres))
		for _, m := range sim.machines {
			sim.start(m)
		}
		sim.runUntil(traceWarmUp)
		sim.borrowRequests = 0
		for at := traceWarmUp; at < traceWarmUp+length; at += time.Duration(sim.rng.ExpFloat64() / perTeam * float64(time.Second)) {
			i := sim.rng.IntN(fullVMs)
			sim.schedule(at, func() { sim.request(sim.machines[i]) })
		}
		sim.runUntil(traceWarmUp + length)
		perRequest := float64(sim.borrowRequests) / float64(sim.admitted+sim.refused)
		perVM := perRequest * fullRequests / fullVMs
		b.ReportMetric(perRequest, "asks/request")
		b.ReportMetric(float64(exchangeBytes()), "bytes/ask")
		// A VM sends borrow requests and replies to those of others; each is
		// about half of the bytes.
		b.ReportMetric(2*perVM, "messages-sent/s/VM")
		b.ReportMetric(perVM*float64(exchangeBytes()), "bytes-sent/s/VM")
		b.ReportMetric(float64(sim.refused)/float64(sim.admitted+sim.refused), "refused/request")
	}
}

func newFilledAccounts(count int) []*rate.Account {
	self := hawthornrail.NewInstance("vm0", "dc0", 1)
	plan := config{rate: 1e9, burst: 1e9, vms: newVMs(1, 1)}.plan()
	accounts := make([]*rate.Account, count)
	for i := range accounts {
		accounts[i] = rate.NewAccount(self, origin, origin)
		accounts[i].ApplyPlan(plan, origin)
		accounts[i].Admit(origin.Add(time.Minute))
	}
	return accounts
}

func BenchmarkAdmit(b *testing.B) {
	a := newFilledAccounts(1)[0]
	now := origin.Add(2 * time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if !a.Admit(now) {
			b.Fatal("refused")
		}
		a.BorrowRequests(0, time.Time{}, now)
	}
}

// BenchmarkMemory reports the bytes that a team takes at a VM that holds a
// share of its rate.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		accounts := newFilledAccounts(fullTeams)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/fullTeams, "bytes/team")
		runtime.KeepAlive(accounts)
	}
}
