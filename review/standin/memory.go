//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is max_body_bytes.
	bodyBytes = 4 << 20
	// usualCallers send at once on a usual day, and hotCallers are 7.5 times as many.
	usualCallers = 4
	hotCallers   = 30
	hotTime      = 6500 * time.Millisecond
	waves        = 3
	// memoryInterval is how often the platform looks at the memory of processes, and
	// restartDelay the time until it starts one again.
	memoryInterval = 5 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	// maxEnds is how often the processes of two machines may end by themselves.
	maxEnds = 2
)

// memoryCase checks that the processes of edge machines stay within their memory while
// one tenant sends many times its usual, in requests of the longest body allowed.
func memoryCase(s setup) error {
	f, err := newFleet(s.names, s.record, []string{"zone-a"})
	if err != nil {
		return err
	}
	defer f.end()
	config, err := renderConfig(configValues{Rate: 500, Burst: 500, StreamTimeoutMS: 3000})
	if err != nil {
		return err
	}
	f.store.Put("config", "main", config)
	if _, err := startWorkers(f); err != nil {
		return err
	}
	edges, err := startTwoEdges(f)
	if err != nil {
		return err
	}
	p := &memoryPlatform{fleet: f, ends: make(map[string]int), peaks: make(map[string]int), stop: make(chan struct{})}
	var watching sync.WaitGroup
	for _, m := range edges {
		watching.Go(func() { p.watch(m) })
	}
	callers := usualCallers
	if s.trouble {
		callers = hotCallers
	}
	c := newCaller(s.names, s.record)
	for wave := range waves {
		f.record.add("wave %d: %d callers at each edge machine", wave+1, callers)
		p.send(c, edges, callers)
		time.Sleep(settleTime)
	}
	close(p.stop)
	watching.Wait()
	broken := 0
	for _, m := range edges {
		f.record.add("%s: memory at its peak %d MB of %d, %d ends", m.name, p.peaks[m.name]>>10, f.memoryMB, p.ends[m.name])
		if p.ends[m.name] > maxEnds {
			broken++
		}
	}
	if broken == len(edges) {
		return fmt.Errorf("%w: processes of %d machines ended more than %d times", errBroken, broken, maxEnds)
	}
	return nil
}

// memoryPlatform ends processes that use more memory than their limit, and starts them
// again.
type memoryPlatform struct {
	fleet *fleet
	stop  chan struct{}

	mu    sync.Mutex
	ends  map[string]int
	peaks map[string]int
}

func (p *memoryPlatform) watch(m *machine) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(memoryInterval):
		}
		used, err := memoryKB(m.command.Process.Pid)
		if err != nil {
			continue
		}
		p.mu.Lock()
		p.peaks[m.name] = max(p.peaks[m.name], used)
		p.mu.Unlock()
		if used <= p.fleet.memoryMB<<10 {
			continue
		}
		p.fleet.record.add("%s uses %d MB, its limit is %d MB", m.name, used>>10, p.fleet.memoryMB)
		if err := p.fleet.kill(m); err != nil {
			continue
		}
		p.mu.Lock()
		p.ends[m.name]++
		p.mu.Unlock()
		time.Sleep(restartDelay)
		if err := p.fleet.start(m, false); err != nil {
			p.fleet.record.add("%s does not start again: %v", m.name, err)
			return
		}
	}
}

// memoryKB returns the memory of a process without the pages of its program file.
func memoryKB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		}
	}
	return 0, fmt.Errorf("process %d has no memory", pid)
}

// send sends orders with long bodies to each edge machine for a while.
func (p *memoryPlatform) send(c *caller, edges []*machine, callers int) {
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var sending sync.WaitGroup
	end := time.Now().Add(hotTime)
	for _, m := range edges {
		for range callers {
			sending.Go(func() {
				for time.Now().Before(end) {
					a := c.post(m.callers, "/orders/1", nil, bytes.NewReader(body), 6*time.Second)
					if a.status != http.StatusOK {
						time.Sleep(max(a.retryAfter, 300*time.Millisecond))
					}
				}
			})
		}
	}
	sending.Wait()
}

// startTwoEdges starts two edge machines and a storage machine.
func startTwoEdges(f *fleet) (edges []*machine, err error) {
	for i := range 2 {
		m, err := f.add(fmt.Sprintf("edge-%d", i+1), "zone-a", false)
		if err != nil {
			return nil, err
		}
		edges = append(edges, m)
	}
	if _, err := f.add("storage-1", "zone-a", true); err != nil {
		return nil, err
	}
	for _, m := range f.machines {
		if err := f.start(m, true); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return edges, nil
}
