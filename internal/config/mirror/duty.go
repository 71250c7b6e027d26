package mirror

import (
	"slices"
	"sync"
	"time"
)

const (
	// FollowedVMs is how many VMs of its data centre a VM follows before it leaves
	// the store to them: one may be frozen or cut off without being noticed.
	FollowedVMs = 2
	// triedBefore bounds how many VMs before this one are tried for a place.
	triedBefore = 6
	// restTime is how long a VM that can't be followed is left alone.
	restTime = time.Second
	// vacantTime is how long one of the places may stay vacant, and aloneTime
	// how long all of them, before this VM watches the store itself.
	vacantTime = 3 * time.Second
	aloneTime  = 600 * time.Millisecond
)

// Duty decides whether this VM watches the store. The first VMs of a data
// centre do, in an order that all of them know; any other follows two before
// it that do, and watches itself while it finds fewer.
type Duty struct {
	mu sync.Mutex
	// known says that the VMs of the data centre are known.
	known   bool
	before  []string
	resting map[string]time.Time
	places  [FollowedVMs]place
	changed chan struct{}
}

// place is one of the VMs that are followed.
type place struct {
	address  string
	followed bool
	// vacant is since when nobody is followed here, and empty says that it has
	// been too long.
	vacant time.Time
	empty  bool
}

// NewDuty returns the duty of a VM that knows no others yet.
func NewDuty() *Duty {
	return &Duty{resting: make(map[string]time.Time), changed: make(chan struct{})}
}

// SetBefore takes the addresses of the VMs before this one, in their order.
func (d *Duty) SetBefore(addresses []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses = addresses[:min(triedBefore, len(addresses))]
	d.update(func() {
		for i := range d.places {
			p := &d.places[i]
			if !d.known {
				p.vacant = now
			}
			if p.address != "" && !slices.Contains(addresses, p.address) {
				*p = place{vacant: now, empty: p.empty}
			}
			p.empty = p.empty || i >= len(addresses)
		}
		d.known, d.before = true, addresses
	})
}

// Take returns the VM to follow for a place, and whether it was followed before;
// ok is false if there is none now.
func (d *Duty) Take(i int, now time.Time) (address string, followed, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &d.places[i]
	if p.address != "" {
		return p.address, p.followed, true
	}
	d.update(func() { p.empty = p.empty || d.known && now.Sub(p.vacant) >= d.patience() })
	for _, address := range d.before {
		if now.Before(d.resting[address]) || d.taken(address) {
			continue
		}
		p.address = address
		return address, false, true
	}
	return "", false, false
}

// patience is how long a place may be vacant.
func (d *Duty) patience() time.Duration {
	if slices.ContainsFunc(d.places[:], func(p place) bool { return p.followed }) {
		return vacantTime
	}
	return aloneTime
}

func (d *Duty) taken(address string) bool {
	return slices.ContainsFunc(d.places[:], func(p place) bool { return p.address == address })
}

// Followed records that the VM of a place watches the store and tells of it.
func (d *Duty) Followed(i int, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.places[i].address == address {
		d.update(func() { d.places[i] = place{address: address, followed: true} })
	}
}

// Failed records that the VM of a place does not answer, or does not watch the
// store.
func (d *Duty) Failed(i int, address string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resting[address] = now.Add(restTime)
	p := &d.places[i]
	if p.address != address {
		return
	}
	if p.followed {
		p.vacant = now
	}
	p.address, p.followed = "", false
}

// Watching reports whether this VM watches the store, and returns a channel
// that is closed when that changes.
func (d *Duty) Watching() (bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching(), d.changed
}

func (d *Duty) watching() bool {
	return d.known && slices.ContainsFunc(d.places[:], func(p place) bool { return p.empty })
}

// update needs the lock.
func (d *Duty) update(change func()) {
	before := d.watching()
	change()
	if d.watching() != before {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}
