package catalogue_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/catalogue"
)

const settling = 2 * time.Second

func endpoint(name, address string) hawthornrail.Endpoint {
	return hawthornrail.NewEndpoint(name, hawthornrail.ServiceEndpoint, "dc1", address, []string{"desk"}).WithInstance(name)
}

func assertEndpoints(t *testing.T, c *catalogue.Catalogue, want ...string) {
	t.Helper()
	var got []string
	for _, e := range c.Snapshot().Endpoints() {
		got = append(got, e.Name())
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("endpoints %v, want %v", got, want)
	}
}

// Guards against running endpoints being dropped because their entries expired
// during an outage of the store, and against removed ones being kept.
func TestLapsedEndpoints(t *testing.T) {
	a, b := endpoint("a", "10.0.0.1:1"), endpoint("b", "10.0.0.2:1")
	newCatalogue := func() (*catalogue.Catalogue, *clockwork.FakeClock) {
		fakeClock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
		c := catalogue.New(fakeClock, fakeClock.Now)
		c.SetEndpoints([]hawthornrail.Endpoint{a, b}, 0)
		return c, fakeClock
	}
	t.Run("removed while the store responds", func(t *testing.T) {
		c, _ := newCatalogue()
		c.SetEndpoints([]hawthornrail.Endpoint{a}, 0)
		assertEndpoints(t, c, "a")
	})
	t.Run("kept while it may be registered again", func(t *testing.T) {
		c, fakeClock := newCatalogue()
		c.SetEndpoints([]hawthornrail.Endpoint{a}, settling)
		fakeClock.Advance(settling / 2)
		c.Expire()
		assertEndpoints(t, c, "a", "b")
	})
	t.Run("dropped at the end of the settling period in spite of an update within it", func(t *testing.T) {
		c, fakeClock := newCatalogue()
		c.SetEndpoints(nil, settling)
		fakeClock.Advance(settling / 2)
		c.SetEndpoints([]hawthornrail.Endpoint{a}, settling/2)
		fakeClock.Advance(settling / 2)
		c.Expire()
		assertEndpoints(t, c, "a")
	})
	t.Run("back", func(t *testing.T) {
		c, fakeClock := newCatalogue()
		c.SetEndpoints(nil, settling)
		c.SetEndpoints([]hawthornrail.Endpoint{a, b}, settling)
		fakeClock.Advance(settling)
		c.Expire()
		assertEndpoints(t, c, "a", "b")
	})
	t.Run("draining endpoint is dropped", func(t *testing.T) {
		c, _ := newCatalogue()
		c.SetEndpoints([]hawthornrail.Endpoint{a, b.WithDraining(true)}, 0)
		c.SetEndpoints([]hawthornrail.Endpoint{a}, settling)
		assertEndpoints(t, c, "a")
	})
	t.Run("another endpoint has the address", func(t *testing.T) {
		c, _ := newCatalogue()
		c.SetEndpoints([]hawthornrail.Endpoint{a, endpoint("c", b.Address())}, settling)
		assertEndpoints(t, c, "a", "c")
	})
}
