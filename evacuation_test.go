package hawthornrail_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Guards against a withdrawal that is forgotten at the next change, or kept although the
// data centre is evacuated again.
func TestWithdrawnEvacuation(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	list := func(dataCentres ...string) (l []hawthornrail.Evacuation) {
		for _, dc := range dataCentres {
			l = append(l, hawthornrail.NewEvacuation(dc, 1))
		}
		return l
	}
	assert := func(e hawthornrail.Evacuations, withdrawn bool) {
		t.Helper()
		w, ok := e.Withdrawn("dc1")
		if ok != withdrawn || ok && (w.At() != start || w.Revision() != 5) {
			t.Errorf("withdrawn %t at %v, revision %d", ok, w.At(), w.Revision())
		}
	}
	e := hawthornrail.Evacuations{}.Next(list("dc1", "dc2"), 3, start)
	assert(e, false)
	e = e.Next(list("dc2"), 5, start)
	assert(e, true)
	assert(e.Next(list(), 6, start.Add(time.Second)), true)
	assert(e.Next(list(), 6, start.Add(time.Hour)), false)
	e = e.Next(list("dc1"), 7, start.Add(time.Second))
	assert(e, false)
	if !e.Evacuated("dc1") || e.Evacuated("dc2") || len(e.InForce()) != 1 {
		t.Errorf("in force: %+v", e.InForce())
	}
}
