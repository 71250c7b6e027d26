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
	scheduleTime        = 5 * time.Second
	programCount        = 12
	callsPerProgram     = 9
	serviceCallInterval = 3
	maxAttempts         = 4
	maxFaultMillis      = 1200
	maxPauseMillis      = 900

	minRetryDelay = 50 * time.Millisecond

	// extraSeedsVariable is the environment variable with the number of random
	// seeds to run in addition to the fixed ones.
	extraSeedsVariable = "CHECKER_SEEDS"
)

func TestMain(m *testing.M) {
	code := m.Run()
	testbed.Cleanup()
	os.Exit(code)
}

// Guards against violated guarantees (see package checker) while VMs are killed,
// frozen and partitioned, the platform fails and services lose responses.
// Programs with model calls and service calls run during the faults.
func TestFaultSchedules(t *testing.T) {
	seeds := []uint64{1, 2}
	extra, _ := strconv.Atoi(os.Getenv(extraSeedsVariable))
	for range extra {
		seeds = append(seeds, rand.Uint64())
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSchedule(t, seed) })
	}
}

func runSchedule(t *testing.T, seed uint64) {
	bed := testbed.New(t, testbed.Options{
		DataCentres: 2, VMs: 2, Engines: 1, EngineDelay: 5 * time.Millisecond, Services: 1, ServiceTime: 20 * time.Millisecond,
	})
	h := &checker.History{CallLimit: int(testbed.DefaultDeployment().Budget.Calls)}
	var wait sync.WaitGroup
	for i := range programCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		program := bed.VMs[i%len(bed.VMs)].CreateProgram(bed.Key)
		wait.Go(func() { runProgram(bed, h, r, program) })
	}
	faults := injectFaults(bed, rand.New(rand.NewPCG(seed, programCount)))
	wait.Wait()
	h.Executions = executions(bed)
	complete := 0
	for _, a := range h.Attempts() {
		if a.Complete {
			complete++
		}
	}
	t.Logf("seed %d: %d attempts, %d whole, %d executions; %s", seed, len(h.Attempts()), complete, len(h.Executions), faults)
	if violations := h.Check(); len(violations) > 0 {
		t.Errorf("seed %d: %s", seed, strings.Join(violations, "\n"))
	}
}

// executions returns the requests that arrived at all services, in order of
// arrival.
func executions(bed *testbed.Bed) []checker.Execution {
	var arrivals []service.Arrival
	for _, s := range bed.Services {
		arrivals = append(arrivals, s.Arrivals()...)
	}
	slices.SortStableFunc(arrivals, func(a, b service.Arrival) int { return a.At.Compare(b.At) })
	executed := make([]checker.Execution, 0, len(arrivals))
	for _, a := range arrivals {
		executed = append(executed, checker.Execution{ID: a.ID})
	}
	return executed
}

// runProgram makes the calls of a program through random VMs.
func runProgram(bed *testbed.Bed, h *checker.History, r *rand.Rand, program string) {
	for number := 1; number <= callsPerProgram; number++ {
		serviceCall := number%serviceCallInterval == 0
		if !callWithRetries(bed, h, r, program, number, serviceCall) {
			return
		}
		time.Sleep(time.Duration(r.IntN(maxPauseMillis)) * time.Millisecond)
	}
}

// callWithRetries attempts a call until its response is complete, the program is
// unknown or all attempts are used. It reports whether the program continues: a
// service call without a response is skipped, a model call ends the program.
func callWithRetries(bed *testbed.Bed, h *checker.History, r *rand.Rand, program string, number int, serviceCall bool) bool {
	for range maxAttempts {
		vm := bed.VMs[r.IntN(len(bed.VMs))]
		a := checker.Attempt{Program: program, Number: number, ServiceCall: serviceCall, Message: fmt.Sprintf("turn %d", number)}
		var response testbed.Reply
		if serviceCall {
			response = vm.Order(bed.Key, program, number)
		} else {
			response = vm.Ask(bed.Key, program, number, a.Message)
		}
		a.Complete, a.Verdict, a.Text = response.OK(), response.Verdict, responseText(response, serviceCall)
		h.Add(a)
		if a.Complete || response.Code == "unknown_program" {
			return a.Complete
		}
		time.Sleep(max(response.Retry, minRetryDelay))
	}
	return serviceCall
}

// responseText returns the message of a model's response, or the body of any
// other response.
func responseText(response testbed.Reply, serviceCall bool) string {
	if serviceCall || !response.OK() {
		return string(response.Body)
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(response.Body, &completion) != nil || len(completion.Choices) == 0 {
		return string(response.Body)
	}
	return completion.Choices[0].Message.Content
}

// injectFaults injects random faults one at a time during scheduleTime, undoes
// each of them and returns the number of faults of each kind.
func injectFaults(bed *testbed.Bed, r *rand.Rand) string {
	counts := map[string]int{}
	for end := time.Now().Add(scheduleTime); time.Now().Before(end); {
		duration := time.Duration(r.IntN(maxFaultMillis)) * time.Millisecond
		vm := bed.VMs[r.IntN(len(bed.VMs))]
		kind := []string{"kill", "freeze", "cut", "cut", "outage", "lost answers", "slow", "service"}[r.IntN(8)]
		counts[kind]++
		switch kind {
		case "kill":
			vm.Kill()
			time.Sleep(duration)
			vm.Start()
		case "freeze":
			vm.Freeze()
			time.Sleep(duration)
			vm.Thaw()
		case "cut":
			links := bed.Links()
			from, to, _ := strings.Cut(links[r.IntN(len(links))], ">")
			bed.Cut(from, to)
			time.Sleep(duration)
			bed.Heal(from, to)
		case "service":
			setLoseResponses(bed, true)
			time.Sleep(duration)
			setLoseResponses(bed, false)
		default:
			bed.Platform.SetFaults(map[string]platform.Faults{
				"outage": {Outage: true}, "lost answers": {LoseResponses: true}, "slow": {SlowMillis: 200},
			}[kind])
			time.Sleep(duration)
			bed.Platform.SetFaults(platform.Faults{})
		}
	}
	return fmt.Sprint(counts)
}

func setLoseResponses(bed *testbed.Bed, lose bool) {
	for _, s := range bed.Services {
		s.SetLoseResponses(lose)
	}
}
