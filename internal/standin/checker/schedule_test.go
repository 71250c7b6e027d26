package checker_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/checker"
	"hawthornrail.example/hawthornrail/internal/standin/platform"
	"hawthornrail.example/hawthornrail/internal/standin/service"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

const (
	scheduleTime = 5 * time.Second
	programCount = 12
	callsEach    = 9
	orderEvery   = 3
	triesEach    = 4
	longestFault = 1200 // milliseconds
	longestPause = 900  // milliseconds

	shortestPause = 50 * time.Millisecond

	// seedsVariable names how many further seeds to run.
	seedsVariable = "CHECKER_SEEDS"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.Cleanup()
	os.Exit(code)
}

// Programs with orders keep every promise under a schedule of kills, freezes,
// cuts and platform faults over several processes.
func TestFaultSchedules(t *testing.T) {
	seeds := []uint64{1, 2}
	more, _ := strconv.Atoi(os.Getenv(seedsVariable))
	for range more {
		seeds = append(seeds, rand.Uint64())
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { schedule(t, seed) })
	}
}

func schedule(t *testing.T, seed uint64) {
	bed := testbed.New(t, testbed.Options{
		DataCentres: 2, VMs: 2, Engines: 1, EngineDelay: 5 * time.Millisecond, Services: 1, ServiceTime: 20 * time.Millisecond,
	})
	h := &checker.History{Calls: int(testbed.DefaultDeployment().Budget.Calls)}
	var wait sync.WaitGroup
	for i := range programCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		program := bed.VMs[i%len(bed.VMs)].CreateProgram(bed.Key)
		wait.Go(func() { run(bed, h, r, program) })
	}
	faults := injectFaults(bed, rand.New(rand.NewPCG(seed, programCount)))
	wait.Wait()
	h.Executions = executions(bed)
	whole := 0
	for _, a := range h.Attempts() {
		if a.Whole {
			whole++
		}
	}
	t.Logf("seed %d: %d attempts, %d whole, %d executions; %s", seed, len(h.Attempts()), whole, len(h.Executions), faults)
	if broken := h.Check(); len(broken) > 0 {
		t.Errorf("seed %d: %s", seed, strings.Join(broken, "\n"))
	}
}

// executions returns the arrivals at all services in the order of their times.
func executions(bed *testbed.Bed) []checker.Execution {
	var arrivals []service.Arrival
	for _, s := range bed.Services {
		arrivals = append(arrivals, s.Arrivals()...)
	}
	slices.SortStableFunc(arrivals, func(a, b service.Arrival) int { return a.At.Compare(b.At) })
	list := make([]checker.Execution, 0, len(arrivals))
	for _, a := range arrivals {
		list = append(list, checker.Execution{ID: a.ID})
	}
	return list
}

// run makes the calls of a program through random VMs.
func run(bed *testbed.Bed, h *checker.History, r *rand.Rand, program string) {
	for number := 1; number <= callsEach; number++ {
		order := number%orderEvery == 0
		if !call(bed, h, r, program, number, order) {
			return
		}
		time.Sleep(time.Duration(r.IntN(longestPause)) * time.Millisecond)
	}
}

// call repeats a call until its answer is whole or nothing more can come, and
// reports whether the program goes on.
func call(bed *testbed.Bed, h *checker.History, r *rand.Rand, program string, number int, order bool) bool {
	for range triesEach {
		vm := bed.VMs[r.IntN(len(bed.VMs))]
		a := checker.Attempt{Program: program, Number: number, Order: order, Message: fmt.Sprintf("turn %d", number)}
		var reply testbed.Reply
		if order {
			reply = vm.Order(bed.Key, program, number)
		} else {
			reply = vm.Ask(bed.Key, program, number, a.Message)
		}
		a.Whole, a.Verdict, a.Text = reply.OK(), reply.Verdict, text(reply, order)
		h.Add(a)
		if a.Whole || reply.Code == "unknown_program" {
			return a.Whole
		}
		time.Sleep(max(reply.Retry, shortestPause))
	}
	return order
}

// text returns what an answer says: a model's message or a service's request.
func text(reply testbed.Reply, order bool) string {
	if order || !reply.OK() {
		return string(reply.Body)
	}
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(reply.Body, &answer) != nil || len(answer.Choices) == 0 {
		return string(reply.Body)
	}
	return answer.Choices[0].Message.Content
}

// injectFaults draws faults until the schedule's time is over, mends them all
// and returns what it did.
func injectFaults(bed *testbed.Bed, r *rand.Rand) string {
	counts := map[string]int{}
	for end := time.Now().Add(scheduleTime); time.Now().Before(end); {
		length := time.Duration(r.IntN(longestFault)) * time.Millisecond
		vm := bed.VMs[r.IntN(len(bed.VMs))]
		kind := []string{"kill", "freeze", "cut", "cut", "outage", "lost answers", "slow", "service"}[r.IntN(8)]
		counts[kind]++
		switch kind {
		case "kill":
			vm.Kill()
			time.Sleep(length)
			vm.Start()
		case "freeze":
			vm.Freeze()
			time.Sleep(length)
			vm.Thaw()
		case "cut":
			links := bed.Links()
			from, to, _ := strings.Cut(links[r.IntN(len(links))], ">")
			bed.Cut(from, to)
			time.Sleep(length)
			bed.Heal(from, to)
		case "service":
			loseAnswers(bed, true)
			time.Sleep(length)
			loseAnswers(bed, false)
		default:
			bed.Platform.SetFaults(map[string]platform.Faults{
				"outage": {Outage: true}, "lost answers": {LoseAnswers: true}, "slow": {SlowMillis: 200},
			}[kind])
			time.Sleep(length)
			bed.Platform.SetFaults(platform.Faults{})
		}
	}
	return fmt.Sprint(counts)
}

func loseAnswers(bed *testbed.Bed, lose bool) {
	for _, s := range bed.Services {
		s.SetLoseResponses(lose)
	}
}
