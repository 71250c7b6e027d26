package mirror_test

import (
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/config/mirror"
)

const other = "other kind"

func assertSettling(t *testing.T, c *mirror.Contact, now time.Time, want time.Duration) {
	t.Helper()
	if got := c.Settling(now); got != want {
		t.Errorf("settling for %v, want %v", got, want)
	}
}

func TestContact(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	back := begin.Add(5 * time.Second)
	fresh := func() *mirror.Contact {
		c := mirror.NewContact("dc1")
		c.Answered(kind, begin)
		c.Answered(other, begin)
		return c
	}
	t.Run("no outage", func(t *testing.T) {
		c := fresh()
		c.Answered(kind, back)
		assertSettling(t, c, back, 0)
	})
	t.Run("outage of the store", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Heard("dc2", mirror.NewStanding(false, true, 0), begin)
		c.Answered(kind, back)
		assertSettling(t, c, back.Add(time.Second), time.Second)
	})
	t.Run("store turns only this VM away", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Failed(other)
		c.Heard("dc2", mirror.NewStanding(true, false, 0), begin)
		c.Answered(kind, back)
		c.Answered(other, back)
		assertSettling(t, c, back, 0)
	})
	t.Run("another VM regained the store first", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Heard("dc2", mirror.NewStanding(true, false, time.Second), back)
		assertSettling(t, c, back, time.Second)
	})
	t.Run("followed VM of the same data centre regained the store", func(t *testing.T) {
		c := fresh()
		c.Followed("dc1", mirror.NewStanding(true, false, time.Second), back)
		assertSettling(t, c, back, time.Second)
	})
	t.Run("store is not called any more after a loss", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Rest(kind)
		if c.Standing(back).Lost() {
			t.Error("the store counts as lost")
		}
	})
	t.Run("an outage after one of this VM alone", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Heard("dc2", mirror.NewStanding(true, false, 0), begin)
		c.Answered(kind, begin)
		c.Failed(kind)
		c.Heard("dc2", mirror.NewStanding(false, true, 0), begin)
		c.Answered(kind, back)
		assertSettling(t, c, back, 2*time.Second)
	})
	t.Run("no other VM says that the store is away", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Answered(kind, back)
		assertSettling(t, c, back, 0)
	})
	t.Run("no other VM to ask", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Alone()
		c.Answered(kind, back)
		assertSettling(t, c, back, 2*time.Second)
	})
	t.Run("the whole data centre was cut off", func(t *testing.T) {
		c := fresh()
		c.Failed(kind)
		c.Heard("dc1", mirror.NewStanding(false, true, 0), begin)
		c.Answered(kind, back)
		c.Heard("dc1", mirror.NewStanding(false, false, time.Second), back)
		assertSettling(t, c, back, 0)
	})
	t.Run("a VM between two answers does not tell", func(t *testing.T) {
		c, calm := fresh(), fresh()
		c.Failed(kind)
		c.Heard("dc2", calm.Standing(begin.Add(4*time.Second)), back)
		c.Heard("dc2", mirror.NewStanding(false, true, 0), back)
		c.Answered(kind, back)
		assertSettling(t, c, back, 2*time.Second)
	})
	t.Run("in contact only with all kinds", func(t *testing.T) {
		c := fresh()
		if s := c.Standing(begin); !s.InContact() || s.Lost() {
			t.Errorf("got %+v, want to be in contact", s)
		}
		c.Failed(kind)
		if s := c.Standing(begin); s.InContact() || !s.Lost() {
			t.Errorf("got %+v, want to be without contact", s)
		}
	})
}
