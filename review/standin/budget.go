//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// programBudget is so small that no part of it is granted to other zones.
	programBudget = 420
	turnTokens    = 60
	turnTimeout   = 3 * time.Second
	// warmUpTurns are served in each zone before the case begins.
	warmUpTurns = 20
	// workersPerService are the workers of each service.
	workersPerService = 3
	// catchUpTime is catch_up_s.
	catchUpTime = 4 * time.Second
	// cutTime is how long the zone is cut off.
	cutTime = 5500 * time.Millisecond
	// replaceAfter is how long after the start of a new machine the one that it
	// replaces gets SIGTERM.
	replaceAfter = 2 * time.Second
	// failoverTimeout bounds the wait for the new machine to hold the zone.
	failoverTimeout = 12 * time.Second
	// holderClaimed is the log event of a machine that holds its zone from now on.
	holderClaimed = `"event":4010`
	// accountsRecovered is that of a machine that knows all programs.
	accountsRecovered = `"event":3206`
	// settleTime lets the machines learn of each other and of changes.
	settleTime = 2 * time.Second
)

// budgetCase checks that the tokens handed out for one program stay within its budget
// while a storage machine is replaced, the new one first, and its zone is cut off
// afterwards.
func budgetCase(s setup) error {
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
	edges, storages, err := startThreeZones(f)
	if err != nil {
		return err
	}
	p := &program{caller: newCaller(s.names, s.record), edges: edges}
	if err := p.warmUp(); err != nil {
		return err
	}
	begin := p.begin
	if s.trouble {
		begin = func() error { return replaceHolder(f, storages["zone-a"], p.begin) }
	}
	if err := errors.Join(begin(), p.spendBudget()); err != nil {
		return err
	}
	f.record.add("%d tokens were handed out in zone-b, of a budget of %d", p.spent, programBudget)
	f.record.add("zone-a is cut off from the other zones: their storage machines stop")
	others := []*machine{storages["zone-b"], storages["zone-c"]}
	if s.cut {
		if err := f.signalAll(others, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	for end := time.Now().Add(cutTime); time.Now().Before(end); {
		a := p.turn("zone-a")
		time.Sleep(max(100*time.Millisecond, min(a.retryAfter, time.Second)))
	}
	if err := f.signalAll(others, syscall.SIGCONT); err != nil {
		return err
	}
	f.record.add("%d tokens were handed out, of a budget of %d", p.spent, programBudget)
	if allowed := programBudget + turnTokens; p.spent > allowed {
		return fmt.Errorf("%w: %d tokens were handed out, %d are allowed", errBroken, p.spent, allowed)
	}
	return nil
}

// program sends the turns of one program.
type program struct {
	caller *caller
	edges  map[string]*machine
	// spent are the tokens that were handed out.
	spent int
}

// turn sends one turn through the edge machine of a zone.
func (p *program) turn(zone string) answer {
	a := p.caller.turn(p.edges[zone].callers, "program-1", programBudget, turnTokens)
	p.spent += a.events * tokensPerEvent
	return a
}

// warmUp waits until turns of other programs run through all zones.
func (p *program) warmUp() error {
	for zone, edge := range p.edges {
		served := 0
		err := eventually(startTimeout, func() bool {
			a := p.caller.turn(edge.callers, "warm-up-"+zone, programBudget, tokensPerEvent)
			if a.status == http.StatusOK {
				served++
			}
			return served == warmUpTurns
		})
		if err != nil {
			return fmt.Errorf("no turns run through %s: %w", zone, err)
		}
	}
	return nil
}

// begin sends the first turn, again until it is served.
func (p *program) begin() error {
	return eventually(replaceAfter, func() bool {
		a := p.turn("zone-b")
		return a.status == http.StatusOK
	})
}

// spendBudget sends turns through one zone until the budget is spent and a turn is refused.
func (p *program) spendBudget() error {
	status := 0
	err := eventually(startTimeout, func() bool {
		a := p.turn("zone-b")
		status = a.status
		return status != http.StatusOK && p.spent > programBudget-turnTokens
	})
	if err != nil {
		return fmt.Errorf("%d tokens of %d were handed out in zone-b, the last turn has status %d", p.spent, programBudget, status)
	}
	return nil
}

// replaceHolder starts a storage machine that replaces another one at another address,
// ends that one replaceAfter later, and waits until the new one holds the zone. meanwhile
// is called while both run.
func replaceHolder(f *fleet, old *machine, meanwhile func() error) error {
	added, err := f.add(old.name+"-new", old.zone, true)
	if err != nil {
		return err
	}
	f.record.add("%s comes to replace %s", added.name, old.name)
	started := time.Now()
	if err := f.start(added, false); err != nil {
		return err
	}
	if err := f.awaitLog(added, accountsRecovered, 0, replaceAfter); err != nil {
		return err
	}
	if err := meanwhile(); err != nil {
		return err
	}
	time.Sleep(time.Until(started.Add(replaceAfter)))
	if err := f.signal(old, syscall.SIGTERM); err != nil {
		return err
	}
	<-old.ended
	if err := f.awaitLog(added, holderClaimed, 0, failoverTimeout); err != nil {
		return err
	}
	f.record.add("%s holds %s", added.name, added.zone)
	// A machine that has come counts as lost for a while.
	time.Sleep(catchUpTime + settleTime)
	return nil
}

func startWorkers(f *fleet) ([]*worker, error) {
	var workers []*worker
	for i := range workersPerService {
		for _, service := range []string{"engine", "desk"} {
			w, err := startWorker(fmt.Sprintf("%s-%d", service, i), f.names, f.record, 5*time.Millisecond, 20*time.Millisecond)
			if err != nil {
				return nil, err
			}
			f.store.Put("servers", w.name, w.entry(service, f.zones[i%len(f.zones)], "ready"))
			workers = append(workers, w)
		}
	}
	return workers, nil
}

// startThreeZones starts an edge machine and a storage machine in each zone.
func startThreeZones(f *fleet) (edges, storages map[string]*machine, err error) {
	edges, storages = make(map[string]*machine), make(map[string]*machine)
	for _, zone := range f.zones {
		if edges[zone], err = f.add("edge-"+zone, zone, false); err != nil {
			return nil, nil, err
		}
		if storages[zone], err = f.add("storage-"+zone, zone, true); err != nil {
			return nil, nil, err
		}
	}
	for _, m := range f.machines {
		if err := f.start(m, true); err != nil {
			return nil, nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, nil, err
	}
	time.Sleep(settleTime)
	return edges, storages, nil
}
