package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/policy/quarantine"
)

// list is a list of endpoints that changes; the value says whether the endpoint drains.
type list map[string]bool

func (l list) find(name string) (hawthornrail.Endpoint, bool) {
	draining, ok := l[name]
	return hawthornrail.NewEndpoint(name, hawthornrail.ServiceEndpoint, "dc1", "", nil).WithDraining(draining), ok
}

func assertCrashes(t *testing.T, crashes []quarantine.Loss, want int) {
	t.Helper()
	if len(crashes) != want {
		t.Errorf("%d losses count as crashes, want %d", len(crashes), want)
	}
}

// Guards against review case 5: a crash that is never counted since no other endpoint
// shows that this VM's link is sound; and against a cut link or a planned end that counts
// as a crash.
func TestLossIsExplainedByTheList(t *testing.T) {
	for _, c := range []struct {
		name string
		// lists are the lists at each second from the loss on; the last one stays.
		lists []list
		// crashAt is the second at which the loss counts as a crash, or -1.
		crashAt int
	}{
		{"entry is removed", []list{{"e1": false}, {"e1": false}, {}}, 2},
		{"entry stays, so the link was cut", []list{{"e1": false}}, -1},
		{"endpoint drains and is removed", []list{{"e1": false}, {"e1": true}, {}}, -1},
		{"restarted with another name", []list{{"e1": false}, {"e1@2": false}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			losses := quarantine.NewLosses()
			losses.Add(quarantine.Loss{Team: "team", Endpoint: "e1", At: start})
			for second := range 70 {
				listed := c.lists[min(second, len(c.lists)-1)]
				want := 0
				if second == c.crashAt {
					want = 1
				}
				assertCrashes(t, losses.TakeCrashes(listed.find, start.Add(time.Duration(second)*time.Second)), want)
			}
			if losses.Len() > 0 {
				t.Error("the loss is kept for ever")
			}
		})
	}
}

// Guards against losses without a bound, and against a team whose losses push out those of
// others.
func TestLossesAreBounded(t *testing.T) {
	losses := quarantine.NewLosses()
	losses.Add(quarantine.Loss{Team: "victim", Endpoint: "e1", At: start})
	for n := range 5000 {
		losses.Add(quarantine.Loss{Team: "hostile", Endpoint: fmt.Sprint(n), At: start})
	}
	if losses.Len() > 300 {
		t.Errorf("%d losses of two teams wait", losses.Len())
	}
	found := false
	for _, loss := range losses.TakeCrashes(list{}.find, start) {
		found = found || loss.Team == "victim"
	}
	if !found {
		t.Error("the other team's loss was pushed out")
	}
	for n := range 5000 {
		losses.Add(quarantine.Loss{Team: fmt.Sprint(n), Endpoint: "e1", At: start})
	}
	if losses.Len() > 1100 {
		t.Errorf("%d losses of many teams wait", losses.Len())
	}
}

// Guards against a request that is blamed for a crash although others like it complete.
func TestCompletionExplainsLoss(t *testing.T) {
	digests := func(path, body string) hawthornrail.RequestDigests {
		r := hawthornrail.NewForwardRequest("POST", "host", path, path, []byte(body), start)
		return r.Digests()
	}
	losses := quarantine.NewLosses()
	losses.Add(quarantine.Loss{Digests: digests("/a", "1"), Endpoint: "e1", At: start})
	losses.Add(quarantine.Loss{Digests: digests("/a", "2"), Endpoint: "e1", At: start})
	losses.Add(quarantine.Loss{Digests: digests("/b", "1"), Endpoint: "e1", At: start})
	losses.RecordCompletion(digests("/a", "2"))
	crashes := losses.TakeCrashes(list{}.find, start)
	assertCrashes(t, crashes, 2)
	if suspects := crashes[0].Suspects(); len(suspects) != 1 || suspects[0] != digests("/a", "1").Content() {
		t.Errorf("%d digests of the first are suspected, want its content only", len(suspects))
	}
	if suspects := crashes[1].Suspects(); len(suspects) != 2 {
		t.Errorf("%d digests of the other path are suspected, want both", len(suspects))
	}
}
