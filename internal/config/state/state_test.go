package state_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"hawthornrail.example/hawthornrail/internal/config/state"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"pgregory.net/rapid"
)

// An accepted configuration never reverts, whatever order, copy or stale list
// the changes arrive in.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		s := state.New()
		held := map[string]float64{}
		for range rapid.IntRange(1, 40).Draw(t, "deliveries") {
			deliver(t, s, history)
			snapshot, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			for name, version := range held {
				d, ok := snapshot.Deployment(name)
				if ok && d.Rate() < version {
					t.Fatalf("%s went back from version %v to %v", name, version, d.Rate())
				}
			}
			for _, d := range snapshot.Deployments() {
				held[d.Name()] = d.Rate()
			}
		}
	})
}

// drawHistory returns the objects ever accepted; an object's rate equals its
// version.
func drawHistory(t *rapid.T) []objects.Object {
	var history []objects.Object
	for version := range rapid.IntRange(1, 30).Draw(t, "changes") {
		name := fmt.Sprintf("d%d", rapid.IntRange(0, 3).Draw(t, "name"))
		value, err := json.Marshal(objects.Deployment{Team: "t", RatePerSecond: float64(version + 1)})
		if err != nil {
			t.Fatal(err)
		}
		history = append(history, objects.Object{Kind: objects.KindDeployment, Name: name, Version: uint64(version + 1), Value: value})
	}
	return history
}

func deliver(t *rapid.T, s *state.State, history []objects.Object) {
	until := rapid.IntRange(1, len(history)).Draw(t, "until")
	if rapid.Bool().Draw(t, "list") {
		latest := map[string]objects.Object{}
		for _, o := range history[:until] {
			latest[o.Name] = o
		}
		var list []objects.Object
		for _, o := range latest {
			list = append(list, o)
		}
		s.Replace(list, uint64(until))
		return
	}
	from := rapid.IntRange(0, until-1).Draw(t, "from")
	changes := history[from:until]
	s.Change(changes, changes[len(changes)-1].Version)
}
