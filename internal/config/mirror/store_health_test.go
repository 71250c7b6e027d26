package mirror_test

import (
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/config/mirror"
)

const otherKind = "other kind"

func assertSettling(t *testing.T, c *mirror.StoreHealth, now time.Time, want time.Duration) {
	t.Helper()
	if got := c.Settling(now); got != want {
		t.Errorf("settling for %v, want %v", got, want)
	}
}

func TestContact(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	regained := begin.Add(5 * time.Second)
	newStoreHealth := func() *mirror.StoreHealth {
		c := mirror.NewStoreHealth("dc1", inForceTimeout)
		c.Responded(kind, begin)
		c.Responded(otherKind, begin)
		return c
	}
	t.Run("no outage", func(t *testing.T) {
		c := newStoreHealth()
		c.Responded(kind, regained)
		assertSettling(t, c, regained, 0)
	})
	t.Run("outage of the store", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.PeerReported("dc2", mirror.NewStoreStatus(false, true, 0), begin)
		c.Responded(kind, regained)
		assertSettling(t, c, regained.Add(time.Second), time.Second)
	})
	t.Run("store is unreachable for this VM only", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.Failed(otherKind)
		c.PeerReported("dc2", mirror.NewStoreStatus(true, false, 0), begin)
		c.Responded(kind, regained)
		c.Responded(otherKind, regained)
		assertSettling(t, c, regained, 0)
	})
	t.Run("another VM regained the store first", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.PeerReported("dc2", mirror.NewStoreStatus(true, false, time.Second), regained)
		assertSettling(t, c, regained, time.Second)
	})
	t.Run("followed VM of the same data centre regained the store", func(t *testing.T) {
		c := newStoreHealth()
		c.SourceReported("dc1", mirror.NewStoreStatus(true, false, time.Second), regained)
		assertSettling(t, c, regained, time.Second)
	})
	t.Run("store is no longer called after a loss", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.StopTracking(kind)
		if c.Status(regained).Lost() {
			t.Error("the store counts as lost")
		}
	})
	t.Run("an outage after a partition of this VM", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.PeerReported("dc2", mirror.NewStoreStatus(true, false, 0), begin)
		c.Responded(kind, begin)
		c.Failed(kind)
		c.PeerReported("dc2", mirror.NewStoreStatus(false, true, 0), begin)
		c.Responded(kind, regained)
		assertSettling(t, c, regained, 2*time.Second)
	})
	t.Run("no other VM reports an outage", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.Responded(kind, regained)
		assertSettling(t, c, regained, 0)
	})
	t.Run("no other VMs", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.NoPeers()
		c.Responded(kind, regained)
		assertSettling(t, c, regained, 2*time.Second)
	})
	t.Run("the whole data centre was partitioned", func(t *testing.T) {
		c := newStoreHealth()
		c.Failed(kind)
		c.PeerReported("dc1", mirror.NewStoreStatus(false, true, 0), begin)
		c.Responded(kind, regained)
		c.PeerReported("dc1", mirror.NewStoreStatus(false, false, time.Second), regained)
		assertSettling(t, c, regained, 0)
	})
	t.Run("the status of a VM between two responses is no evidence", func(t *testing.T) {
		c, idle := newStoreHealth(), newStoreHealth()
		c.Failed(kind)
		c.PeerReported("dc2", idle.Status(begin.Add(4*time.Second)), regained)
		c.PeerReported("dc2", mirror.NewStoreStatus(false, true, 0), regained)
		c.Responded(kind, regained)
		assertSettling(t, c, regained, 2*time.Second)
	})
	t.Run("in contact only if all kinds respond", func(t *testing.T) {
		c := newStoreHealth()
		if s := c.Status(begin); !s.InContact() || s.Lost() {
			t.Errorf("got %+v, want to be in contact", s)
		}
		c.Failed(kind)
		if s := c.Status(begin); s.InContact() || !s.Lost() {
			t.Errorf("got %+v, want to be without contact", s)
		}
	})
}
