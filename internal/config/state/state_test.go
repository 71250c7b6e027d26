package state_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/state"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"pgregory.net/rapid"
)

var names = []string{"a", "b", "c", "d"}

// Guards against an accepted configuration that reverts, a change that is
// partly in force, and a state that lacks a change below its revision, whatever
// stale list, gap, order, copy or other VM the changes arrive by.
func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlatform(t)
		vms := []*vmModel{newVMModel(p), newVMModel(p)}
		for range rapid.IntRange(1, 40).Draw(t, "deliveries") {
			i := rapid.IntRange(0, 1).Draw(t, "vm")
			vms[i].deliver(t, vms[1-i].state)
			vms[i].check(t)
		}
	})
}

// platform is the reference model: every event ever accepted, in order. The
// event at index i has version i+1.
type platform struct {
	events       []objects.Object
	eventsByName map[string][]nameEvent
}

func drawPlatform(t *rapid.T) *platform {
	p := &platform{}
	for range rapid.IntRange(1, 30).Draw(t, "events") {
		name := rapid.SampledFrom(names).Draw(t, "name")
		switch rapid.IntRange(0, 5).Draw(t, "event") {
		case 0:
			p.add(objects.Object{Kind: objects.KindDeployment, Name: name, Deleted: true})
		case 1:
			p.addChange(t)
		default:
			p.add(deployment(name, uint64(len(p.events)+1)))
		}
	}
	p.eventsByName = make(map[string][]nameEvent)
	for _, name := range names {
		p.eventsByName[name] = p.eventsOf(name)
	}
	return p
}

func (p *platform) add(o objects.Object) {
	o.Version = uint64(len(p.events) + 1)
	p.events = append(p.events, o)
}

// addChange accepts a change of several objects, copies its objects and empties
// it before the next event of any other kind.
func (p *platform) addChange(t *rapid.T) {
	changed := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 2, 3, rapid.ID[string]).Draw(t, "changed")
	version := uint64(len(p.events) + 1)
	c := objects.Change{ID: fmt.Sprint(version)}
	for _, name := range changed {
		member := objects.ChangeObject{Kind: objects.KindDeployment, Name: name, Deleted: rapid.Bool().Draw(t, "deleted")}
		if !member.Deleted {
			member.Value = deployment(name, version).Value
		}
		c.Objects = append(c.Objects, member)
	}
	value, _ := json.Marshal(c)
	p.add(objects.Object{Kind: objects.KindChange, Name: objects.ChangeName, Value: value})
	for _, member := range c.Objects {
		p.add(objects.Object{Kind: member.Kind, Name: member.Name, Deleted: member.Deleted, Value: member.Value})
	}
	p.add(objects.Object{Kind: objects.KindChange, Name: objects.ChangeName, Value: json.RawMessage(`{}`)})
}

// deployment returns an object whose rate is the version that accepted it.
func deployment(name string, version uint64) objects.Object {
	value, _ := json.Marshal(objects.Deployment{Team: "t", RatePerSecond: float64(version)})
	return objects.Object{Kind: objects.KindDeployment, Name: name, Value: value}
}

func (p *platform) list(t *rapid.T, revision uint64) []objects.Object {
	latest := map[string]objects.Object{}
	for _, o := range p.events[:revision] {
		latest[o.Kind+o.Name] = o
	}
	var list []objects.Object
	for _, id := range slices.Sorted(maps.Keys(latest)) {
		if o := latest[id]; !o.Deleted {
			list = append(list, o)
		}
	}
	return rapid.Permutation(list).Draw(t, "order")
}

// nameEvent is the effect of one event on one name: the accepting version, and
// whether it deletes the name. change is the version of the change object that
// it belongs to, or 0.
type nameEvent struct {
	version uint64
	rate    float64
	deleted bool
	change  uint64
}

// eventsOf returns every accepted event of a name, in order.
func (p *platform) eventsOf(name string) []nameEvent {
	var list []nameEvent
	for _, o := range p.events {
		if o.Kind == objects.KindChange {
			var c objects.Change
			_ = json.Unmarshal(o.Value, &c)
			for _, member := range c.Objects {
				if member.Name == name {
					list = append(list, nameEvent{version: o.Version, rate: rateOf(member.Value), deleted: member.Deleted, change: o.Version})
				}
			}
		} else if o.Name == name {
			list = append(list, nameEvent{version: o.Version, rate: rateOf(o.Value), deleted: o.Deleted})
		}
	}
	return list
}

func rateOf(value json.RawMessage) float64 {
	var d objects.Deployment
	_ = json.Unmarshal(value, &d)
	return d.RatePerSecond
}

// vmModel is a VM's state with the lowest version of each name that it may hold
// from now on.
type vmModel struct {
	platform    *platform
	state       *state.State
	minVersions map[string]uint64
}

func newVMModel(p *platform) *vmModel {
	return &vmModel{platform: p, state: state.New(), minVersions: map[string]uint64{}}
}

func (m *vmModel) deliver(t *rapid.T, peer *state.State) {
	until := uint64(rapid.IntRange(1, len(m.platform.events)).Draw(t, "until"))
	from := uint64(rapid.IntRange(0, int(until)-1).Draw(t, "from"))
	switch rapid.IntRange(0, 5).Draw(t, "delivery") {
	case 0:
		m.state.Replace(m.platform.list(t, until), until)
	case 1:
		if since := m.state.Revision(); since < until {
			m.state.ApplyChanges(m.platform.events[since:until], since, until)
		}
	case 2:
		m.state.ApplyChanges(m.platform.events[from:until], from, until)
	case 3:
		m.state.ApplyChanges(m.platform.events[until-1:until], until-1, until)
	case 4:
		since := m.state.Revision()
		if changed, full := peer.Since(since); full {
			m.state.Replace(changed, peer.Revision())
		} else {
			m.state.ApplyChanges(changed, since, peer.Revision())
		}
	case 5:
		if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
			*m = *newVMModel(m.platform)
		}
	}
}

// check finds an event that explains the value in force of each name. It may
// not be older than the last one found, nor older than the newest event of the
// name up to the state's revision.
func (m *vmModel) check(t *rapid.T) {
	snapshot, err := m.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		minVersion := max(m.minVersions[name], m.newestComplete(name))
		version, ok := m.explain(snapshot, name, minVersion)
		if !ok {
			d, present := snapshot.Deployment(name)
			t.Fatalf("%s reverted: present %t with rate %v after version %d", name, present, d.Rate(), minVersion)
		}
		m.minVersions[name] = version
	}
	for _, name := range names {
		d, _ := snapshot.Deployment(name)
		for _, e := range m.platform.eventsByName[name] {
			if e.change != 0 && !e.deleted && e.rate == d.Rate() {
				m.checkChangeComplete(t, snapshot, e.change)
			}
		}
	}
}

// newestComplete returns the version of the newest event up to the state's
// revision.
func (m *vmModel) newestComplete(name string) uint64 {
	newest := uint64(0)
	for _, e := range m.platform.eventsByName[name] {
		if e.version <= m.state.Revision() {
			newest = e.version
		}
	}
	return newest
}

// explain returns the earliest event from minVersion on that gives a name its
// value.
func (m *vmModel) explain(snapshot *hawthornrail.Snapshot, name string, minVersion uint64) (uint64, bool) {
	d, present := snapshot.Deployment(name)
	if !present && minVersion == 0 {
		return 0, true
	}
	for _, e := range m.platform.eventsByName[name] {
		if e.version >= minVersion && e.deleted != present && (!present || e.rate == d.Rate()) {
			return e.version, true
		}
	}
	return 0, false
}

// checkChangeComplete fails if a change that is in force for one name is not in
// force for another one.
func (m *vmModel) checkChangeComplete(t *rapid.T, snapshot *hawthornrail.Snapshot, change uint64) {
	for _, name := range names {
		for _, e := range m.platform.eventsByName[name] {
			if e.change != change {
				continue
			}
			if _, ok := m.explain(snapshot, name, change); !ok {
				t.Fatalf("change %d is in force, but not for %s", change, name)
			}
		}
	}
}

func TestStaleChangeAfterDeletion(t *testing.T) {
	s := state.New()
	created := deployment("a", 1)
	created.Version = 1
	s.Replace(nil, 2)
	s.ApplyChanges([]objects.Object{created}, 0, 1)
	assertDeployments(t, s, 0)
}

func TestTombstonesAreBounded(t *testing.T) {
	s := state.New()
	for v := uint64(1); v <= 10_000; v++ {
		o := objects.Object{Kind: objects.KindKey, Name: fmt.Sprint(v), Deleted: true, Version: v}
		s.ApplyChanges([]objects.Object{o}, v-1, v)
	}
	if changed, full := s.Since(1); !full || len(changed) != 0 {
		t.Errorf("got %d changes, full %t, want a full list of none", len(changed), full)
	}
	if changed, full := s.Since(9_999); full || len(changed) != 1 {
		t.Errorf("got %d changes, full %t, want one change", len(changed), full)
	}
}

func assertDeployments(t *testing.T, s *state.State, want int) {
	t.Helper()
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got := len(snapshot.Deployments()); got != want {
		t.Errorf("got %d deployments, want %d", got, want)
	}
}
