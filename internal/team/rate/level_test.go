package rate_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/team/share"
)

// A team that sends several times its rate: no program starts while requests
// of those under way find no token, and programs start again once they do.
func TestLevelBeyondRate(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	list := []hawthornrail.VM{hawthornrail.NewVM("dc1", "dc1", "", false), hawthornrail.NewVM("vm1", "dc1", "", false).WithoutRates()}
	d := hawthornrail.NewDeployment("team", "team", 1).WithRate(30, 30)
	newAccount := func() *rate.Account {
		a := rate.NewAccount(hawthornrail.NewInstance("vm1", "dc1", 1), begin, begin)
		a.Follow(share.NewPlan(d, list), begin)
		return a
	}
	t.Run("nothing asked yet", func(t *testing.T) { assertLevel(t, newAccount(), begin, 1, 1) })
	t.Run("requests find no token", func(t *testing.T) {
		a := newAccount()
		for range 5 {
			if _, ok := a.Admit(begin); ok {
				t.Fatal("admitted without a token")
			}
		}
		assertLevel(t, a, begin, 0, 0)
	})
	t.Run("a while after", func(t *testing.T) {
		a := newAccount()
		_, _ = a.Admit(begin)
		assertLevel(t, a, begin.Add(3*time.Second), 1, 1)
	})
}

func assertLevel(t *testing.T, a *rate.Account, now time.Time, least, most float64) {
	t.Helper()
	if got := a.Level(now); got < least || got > most {
		t.Errorf("level %v, want %v to %v", got, least, most)
	}
}
