package mirror_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/config/mirror"
)

var begin = time.Unix(1_000_000, 0)

// centre is a data centre whose VMs know each other and try to follow one
// another in steps of time, without a network.
type centre struct {
	names  []string
	duties []*mirror.Duty
	down   map[string]bool
	now    time.Time
	asks   int
}

func newCentre(size int) *centre {
	c := &centre{down: make(map[string]bool), now: begin}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("vm%03d", i))
		d := mirror.NewDuty()
		d.SetBefore(slices.Clone(c.names[:i]), c.now)
		c.duties = append(c.duties, d)
	}
	return c
}

// run lets every VM try its places, again after a pause, for some time.
func (c *centre) run(length time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		for i, d := range c.duties {
			for place := range mirror.FollowedVMs {
				if !c.down[c.names[i]] {
					c.try(d, place)
				}
			}
		}
	}
}

func (c *centre) try(d *mirror.Duty, place int) {
	for {
		address, _, ok := d.Take(place, c.now)
		if !ok {
			return
		}
		c.asks++
		if c.down[address] || !c.watches(address) {
			d.Failed(place, address, c.now)
			continue
		}
		d.Followed(place, address)
		return
	}
}

func (c *centre) watches(name string) bool {
	watching, _ := c.duties[slices.Index(c.names, name)].Watching()
	return watching
}

func (c *centre) assertWatching(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for _, name := range c.names {
		if !c.down[name] && c.watches(name) {
			got = append(got, name)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("%v watch the store, want %v", got, want)
	}
}

func TestDuty(t *testing.T) {
	t.Run("the first two watch", func(t *testing.T) {
		c := newCentre(12)
		c.run(10 * time.Second)
		c.assertWatching(t, "vm000", "vm001")
	})
	t.Run("a VM alone watches", func(t *testing.T) {
		c := newCentre(1)
		c.assertWatching(t, "vm000")
	})
	t.Run("the next one watches in place of one that is gone", func(t *testing.T) {
		c := newCentre(12)
		c.run(5 * time.Second)
		c.down["vm000"] = true
		c.run(20 * time.Second)
		c.assertWatching(t, "vm001", "vm002")
	})
	t.Run("one that is back relieves it", func(t *testing.T) {
		c := newCentre(12)
		c.down["vm000"] = true
		c.run(20 * time.Second)
		c.down["vm000"] = false
		c.run(10 * time.Second)
		c.assertWatching(t, "vm000", "vm001")
	})
	t.Run("whoever finds none to follow watches soon", func(t *testing.T) {
		c := newCentre(9)
		c.run(5 * time.Second)
		for _, name := range c.names[:8] {
			c.down[name] = true
		}
		c.run(time.Second)
		c.assertWatching(t, "vm008")
	})
}

// The store is watched by as many VMs of a data centre at any size, and a VM
// asks as often for that.
func TestWatchesDoNotGrowWithVMs(t *testing.T) {
	const seconds = 10
	for _, size := range []int{6, 20, 42} {
		c := newCentre(size)
		c.run(10 * time.Second)
		c.assertWatching(t, "vm000", "vm001")
		c.asks = 0
		c.run(seconds * time.Second)
		// Here each step is an ask; a real one waits for a change meanwhile.
		if most := size * seconds * 10 * mirror.FollowedVMs; c.asks > most {
			t.Errorf("%d VMs asked %d times, want at most %d", size, c.asks, most)
		}
	}
}

// A short restart of one that is followed makes nobody else watch.
func TestRestartOfFollowed(t *testing.T) {
	c := newCentre(12)
	c.run(10 * time.Second)
	c.down["vm000"] = true
	c.run(2 * time.Second)
	c.assertWatching(t, "vm001")
	c.down["vm000"] = false
	c.run(3 * time.Second)
	c.assertWatching(t, "vm000", "vm001")
}
