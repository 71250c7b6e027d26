//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	// isolatedTurns are sent while the zone is cut off.
	isolatedTurns = 6
	// wipeAfter is how long after the first of them the storage machine loses its
	// power and its disk, and darkTime how long it is down.
	wipeAfter = 2 * time.Second
	darkTime  = 2 * time.Second
)

// isolatedCase checks that the tokens handed out for one program stay within its budget
// while its zone is cut off and the storage machine of the zone loses its disk.
func isolatedCase(s setup) error {
	f, err := newFleet(s.names, s.record, []string{"zone-a", "zone-b", "zone-c"})
	if err != nil {
		return err
	}
	defer f.end()
	config, err := renderConfig(configValues{StreamTimeoutMS: 3000})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", config)
	if _, err := startWorkers(f); err != nil {
		return err
	}
	g, err := startGate(f.address)
	if err != nil {
		return err
	}
	f.gates = map[string]*gate{"zone-a": g}
	edges, storages, err := startThreeZones(f)
	if err != nil {
		return err
	}
	p := &program{caller: newCaller(s.names, s.record), edges: edges}
	if err := p.warmUp(); err != nil {
		return err
	}
	if err := p.runCutOff(f, g, storages, s); err != nil {
		return err
	}
	f.record.add("%d tokens were handed out in zone-a, of a budget of %d", p.spent, programBudget)
	time.Sleep(catchUpTime + settleTime)
	if err := p.spendBudget(); err != nil && p.spent == 0 {
		return err
	}
	f.record.add("%d tokens were handed out, of a budget of %d", p.spent, programBudget)
	if allowed := programBudget + turnTokens; p.spent > allowed {
		return fmt.Errorf("%w: %d tokens were handed out, %d are allowed", errBroken, p.spent, allowed)
	}
	return nil
}

// runCutOff sends turns through zone-a while that is cut off; the storage machine of the
// zone loses its disk meanwhile.
func (p *program) runCutOff(f *fleet, g *gate, storages map[string]*machine, s setup) error {
	others := []*machine{storages["zone-b"], storages["zone-c"]}
	if s.cut {
		f.record.add("zone-a is partitioned from the store, and the storage machines of the other zones lose power")
		g.setClosed(true)
		for _, m := range others {
			if err := f.kill(m); err != nil {
				return err
			}
		}
	}
	begun := time.Now()
	for range isolatedTurns {
		a := p.turn("zone-a")
		time.Sleep(max(50*time.Millisecond, min(a.retryAfter, 400*time.Millisecond)))
	}
	time.Sleep(time.Until(begun.Add(wipeAfter)))
	var wiped error
	if s.trouble {
		wiped = wipe(f, storages["zone-a"])
	}
	time.Sleep(time.Until(begun.Add(cutTime)))
	g.setClosed(false)
	if wiped != nil || !s.cut {
		return wiped
	}
	return errors.Join(f.start(others[0], false), f.start(others[1], false))
}

// wipe ends a storage machine and starts it again at its address with an empty disk.
func wipe(f *fleet, m *machine) error {
	f.record.add("%s loses its disk", m.name)
	if err := f.kill(m); err != nil {
		return err
	}
	if err := os.RemoveAll(m.folder); err != nil {
		return err
	}
	time.Sleep(darkTime)
	return f.start(m, false)
}
