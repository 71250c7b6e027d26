package endpoint_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/endpoint"
)

// unpacedChoices are the checksums of the choices that the code before the use of
// pace made in the histories of choicesWithoutPace.
var unpacedChoices = map[string]uint64{
	"engines":  0x533e0273729f9aea,
	"services": 0x7f7be1982cf9fb83,
}

// choicesWithoutPace returns a checksum of the choices of a table in a fixed history
// of requests, reports without a pace, failures and hints.
func choicesWithoutPace(kind hawthornrail.EndpointKind) uint64 {
	const endpoints, requests, programs = 60, 4000, 200
	var list []hawthornrail.Endpoint
	for i := range endpoints {
		e := hawthornrail.NewEndpoint(fmt.Sprintf("e%d", i), kind, fmt.Sprintf("dc%d", i%3), "", []string{"m"})
		list = append(list, e.WithSlots(slots))
	}
	table := endpoint.NewTable(endpoint.ForwardParams(), "dc1", rand.New(rand.NewPCG(5, 6)))
	table.Set(list)
	table.SetSenders(9)
	history := rand.New(rand.NewPCG(7, 8))
	sum := fnv.New64a()
	now := start
	var inFlight []string
	for range requests {
		now = now.Add(time.Duration(history.IntN(4000)) * time.Microsecond)
		program := fmt.Sprint(history.IntN(programs))
		e, ok := table.Choose(hawthornrail.NewPickQuery(kind, "m", program, history.IntN(4000)), now)
		_, _ = fmt.Fprint(sum, e.Name(), ok)
		if ok {
			inFlight = append(inFlight, e.Name())
			table.Report(e.Name(), endpoint.NewReport(history.IntN(3), history.IntN(slots), 0, 100_000), now)
		}
		if len(inFlight) > 20 {
			outcome := endpoint.Served
			if history.IntN(50) == 0 {
				outcome = endpoint.Failed
			}
			table.Done(inFlight[0], outcome, time.Duration(history.IntN(600))*time.Millisecond, now)
			table.Cached(program, inFlight[0], history.IntN(4000), now)
			inFlight = inFlight[1:]
		}
	}
	return sum.Sum64()
}

// Guards against a change of the choices among endpoints that report no pace.
func TestChoicesWithoutPaceAreUnchanged(t *testing.T) {
	for name, kind := range map[string]hawthornrail.EndpointKind{"engines": hawthornrail.EngineEndpoint, "services": hawthornrail.ServiceEndpoint} {
		t.Run(name, func(t *testing.T) {
			if got := choicesWithoutPace(kind); got != unpacedChoices[name] {
				t.Errorf("got %#x, want %#x", got, unpacedChoices[name])
			}
		})
	}
}
