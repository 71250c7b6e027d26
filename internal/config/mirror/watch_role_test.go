package mirror_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/config/mirror"
)

var begin = time.Unix(1_000_000, 0)

// dataCentre simulates VMs that know each other and try to follow one another
// in steps of time, without a network.
type dataCentre struct {
	names      []string
	watchRoles []*mirror.WatchRole
	down       map[string]bool
	now        time.Time
	requests   int
}

func newDataCentre(size int) *dataCentre {
	c := &dataCentre{down: make(map[string]bool), now: begin}
	for i := range size {
		c.names = append(c.names, fmt.Sprintf("vm%03d", i))
		d := mirror.NewWatchRole()
		d.SetPredecessors(slices.Clone(c.names[:i]), c.now)
		c.watchRoles = append(c.watchRoles, d)
	}
	return c
}

// run lets every VM that is up try its slots at each step of a period.
func (c *dataCentre) run(duration time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(step) {
		for i, d := range c.watchRoles {
			for slot := range mirror.FollowedVMs {
				if !c.down[c.names[i]] {
					c.trySlot(d, slot)
				}
			}
		}
	}
}

func (c *dataCentre) trySlot(d *mirror.WatchRole, slot int) {
	for {
		address, _, ok := d.Acquire(slot, c.now)
		if !ok {
			return
		}
		c.requests++
		if c.down[address] || !c.watches(address) {
			d.Failed(slot, address, c.now)
			continue
		}
		d.Followed(slot, address)
		return
	}
}

func (c *dataCentre) watches(name string) bool {
	watching, _ := c.watchRoles[slices.Index(c.names, name)].Watching()
	return watching
}

func (c *dataCentre) assertWatching(t *testing.T, want ...string) {
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

func TestFirstVMsWatch(t *testing.T) {
	t.Run("the first two VMs watch", func(t *testing.T) {
		c := newDataCentre(12)
		c.run(10 * time.Second)
		c.assertWatching(t, "vm000", "vm001")
	})
	t.Run("a single VM watches", func(t *testing.T) {
		c := newDataCentre(1)
		c.assertWatching(t, "vm000")
	})
	t.Run("the next VM watches in place of a stopped one", func(t *testing.T) {
		c := newDataCentre(12)
		c.run(5 * time.Second)
		c.down["vm000"] = true
		c.run(20 * time.Second)
		c.assertWatching(t, "vm001", "vm002")
	})
	t.Run("a restarted VM watches again instead of its replacement", func(t *testing.T) {
		c := newDataCentre(12)
		c.down["vm000"] = true
		c.run(20 * time.Second)
		c.down["vm000"] = false
		c.run(10 * time.Second)
		c.assertWatching(t, "vm000", "vm001")
	})
	t.Run("a VM with no VM to follow watches within a second", func(t *testing.T) {
		c := newDataCentre(9)
		c.run(5 * time.Second)
		for _, name := range c.names[:8] {
			c.down[name] = true
		}
		c.run(time.Second)
		c.assertWatching(t, "vm008")
	})
}

// Guards against a number of store watches, or of requests per VM, that grows
// with the number of VMs in a data centre.
func TestWatchesDoNotGrowWithVMs(t *testing.T) {
	const seconds = 10
	for _, size := range []int{6, 20, 42} {
		c := newDataCentre(size)
		c.run(10 * time.Second)
		c.assertWatching(t, "vm000", "vm001")
		c.requests = 0
		c.run(seconds * time.Second)
		// Here each step sends a request; outside the simulation it would wait
		// for a change.
		if limit := size * seconds * 10 * mirror.FollowedVMs; c.requests > limit {
			t.Errorf("%d VMs sent %d requests, want at most %d", size, c.requests, limit)
		}
	}
}

// Guards against another VM that starts to watch the store during a short
// restart of a followed VM.
func TestNoTakeoverInShortRestart(t *testing.T) {
	c := newDataCentre(12)
	c.run(10 * time.Second)
	c.down["vm000"] = true
	c.run(2 * time.Second)
	c.assertWatching(t, "vm001")
	c.down["vm000"] = false
	c.run(3 * time.Second)
	c.assertWatching(t, "vm000", "vm001")
}
