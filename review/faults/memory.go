//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualTurns is how many turns of a tenant are under way at once, and hot how many times
	// as many it sends for hotTime, again and again with a pause.
	usualTurns = 4
	hot        = 7.5
	hotTime    = 6500 * time.Millisecond
	hotPause   = 2500 * time.Millisecond
	hotPhases  = 8
	// chainTurns turns with inputs of inputBytes are what they all go on from.
	chainTurns = 4
	inputBytes = 2_000_000
	// maxEnds is how often the process of a machine may end, and maxMachines on how many
	// machines it may end more often.
	maxEnds     = 2
	maxMachines = 1
	// checkInterval is how often the platform looks at the memory of processes, and
	// restartDelay the time until a process that was ended is started again.
	checkInterval = 20 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// playMemory: many turns of one tenant go on from the same long conversation, and processes
// use more memory than their machine has.
func playMemory(r *record, trouble bool) error {
	f := newFleet(r, options{config: turnConfig(true, false), disks: 2, edges: []int{0, 1}, configMS: 3000})
	current = f
	for n := range 3 {
		f.startWorker(fmt.Sprintf("i-engine-%d", n), n, 6, 50*time.Millisecond)
	}
	f.startAll()
	f.firstTurns()
	parent := ""
	for range chainTurns {
		id := f.nextID("long")
		if !f.longTurn(0, id, parent, strings.Repeat("a", inputBytes), "40000,30").whole() {
			return cannotRun{fmt.Errorf("turn %s is not served", id)}
		}
		parent = id
	}
	ends := f.endOverLimit()
	turns := usualTurns
	if trouble {
		turns = int(usualTurns * hot)
	}
	var whole, other atomic.Int64
	for phase := 0; phase < hotPhases && !tooMany(ends()); phase++ {
		f.sendTurns(turns, parent, &whole, &other)
		time.Sleep(hotPause)
	}
	r.printf("%d turns at once: %d answered whole, %d not; the processes that used more than %d MB, and how often: %v",
		turns, whole.Load(), other.Load(), memoryMB, ends())
	if tooMany(ends()) {
		return fmt.Errorf("%w: Fault: the processes of machines ended since they used more than %d MB: %v, while a tenant sent %d turns at once", errBroken, memoryMB, ends(), turns)
	}
	return nil
}

// longTurn sends a turn of a program whose prompts nearly fill the memory of a worker.
func (f *fleet) longTurn(edge int, id, parent, input, tokens string) answer {
	headers := []string{"program", "program", "session", "line", "tokens", tokens}
	if parent != "" {
		headers = append(headers, "parent", parent)
	}
	return f.send(edge, "/turns/x", id, input, turnDeadline, headers...)
}

// sendTurns keeps a number of turns under way for hotTime.
func (f *fleet) sendTurns(turns int, parent string, whole, other *atomic.Int64) {
	var pending sync.WaitGroup
	for n := range turns {
		pending.Go(func() {
			for end := time.Now().Add(hotTime); time.Now().Before(end); {
				a := f.longTurn(n%len(f.edges), f.nextID("turn"), parent, "input", "160000,30")
				if a.whole() {
					whole.Add(1)
					continue
				}
				other.Add(1)
				time.Sleep(retryAfter(a))
			}
		})
	}
	pending.Wait()
}

// tooMany reports whether the processes of more machines have ended too often than may.
func tooMany(ends map[string]int) bool {
	machines := 0
	for _, count := range ends {
		if count > maxEnds {
			machines++
		}
	}
	return machines > maxMachines
}

// retryAfter returns how long a requester waits after a refusal.
func retryAfter(a answer) time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return 200 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}

// endOverLimit does as the platform does with processes that use more memory than their
// machine has: it ends them and starts them again. ends returns how often, by machine.
func (f *fleet) endOverLimit() (ends func() map[string]int) {
	var mu sync.Mutex
	counts := make(map[string]int)
	for _, p := range append(append([]*process{}, f.storage...), f.edges...) {
		go func() {
			for ; !f.isClosed(); time.Sleep(checkInterval) {
				used := p.memoryMB()
				if used <= memoryMB {
					continue
				}
				f.record.printf("%s uses %d MB", p.name, used)
				f.kill(p)
				mu.Lock()
				counts[p.name]++
				mu.Unlock()
				time.Sleep(restartDelay)
				if !f.isClosed() {
					f.start(p, false)
				}
			}
		}()
	}
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		copied := make(map[string]int)
		for name, count := range counts {
			copied[name] = count
		}
		return copied
	}
}

// memoryMB returns the memory that a process uses, without the pages of its program file, or
// 0 if it does not run.
func (p *process) memoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}
