package serve_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sashabaranov/go-openai"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

// startDelay is how long started requests are given to reach their endpoints.
const startDelay = 300 * time.Millisecond

// streamCall makes a streamed call of a program and reads the whole response.
func streamCall(vm *testbed.VM, key, program string, number int) error {
	config := openai.DefaultConfig(key)
	config.BaseURL = "http://" + vm.Caller + "/v1"
	config.HTTPClient = &headerClient{testbed.ProgramHeaders(program, number)}
	s, err := openai.NewClientWithConfig(config).CreateChatCompletionStream(context.Background(), openai.ChatCompletionRequest{
		Model: testbed.Model, Messages: []openai.ChatCompletionMessage{{Role: "user", Content: "hello"}},
	})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for {
		if _, err := s.Recv(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// startRequests starts a stream and an order through each VM, in programs whose
// home is the first VM, and returns once they are in flight.
func startRequests(bed *testbed.Bed, vms []*testbed.VM, record func(name string, err error)) *sync.WaitGroup {
	var wait sync.WaitGroup
	for _, vm := range vms {
		streaming, ordering := bed.VMs[0].CreateProgram(bed.Key), bed.VMs[0].CreateProgram(bed.Key)
		wait.Go(func() { record("stream by "+vm.Name, streamCall(vm, bed.Key, streaming, 1)) })
		wait.Go(func() {
			reply := vm.Order(bed.Key, ordering, 1)
			if !reply.OK() {
				record("order by "+vm.Name, fmt.Errorf("%d %s: %w", reply.Status, reply.Body, errors.Join(errors.New("order failed"), reply.Err)))
			}
		})
	}
	time.Sleep(startDelay)
	return &wait
}

// awaitConnected waits until every VM reaches the home of a program, which is the
// case once a call with a number that is too high is refused.
func awaitConnected(bed *testbed.Bed) {
	program := bed.VMs[0].CreateProgram(bed.Key)
	for _, vm := range bed.VMs {
		bed.Eventually(10*time.Second, vm.Name+" knows the other VMs", func() bool {
			return vm.Ask(bed.Key, program, 2, "hello").Code == "call_out_of_order"
		})
	}
}

// A graceful shutdown aborts no request, including streams, tool calls and
// requests that other VMs forwarded.
func TestGracefulShutdown(t *testing.T) {
	t.Run("requests through every VM", func(t *testing.T) {
		assertNoneAborted(t, func(bed *testbed.Bed) []*testbed.VM { return bed.VMs }, `"requests":2`, `"forwarded":4`)
	})
	t.Run("requests through other VMs only", func(t *testing.T) {
		assertNoneAborted(t, func(bed *testbed.Bed) []*testbed.VM { return bed.VMs[1:] }, `"requests":0`, `"forwarded":4`)
	})
}

func assertNoneAborted(t *testing.T, through func(bed *testbed.Bed) []*testbed.VM, logged ...string) {
	t.Helper()
	bed := testbed.New(t, testbed.Options{
		DataCentres: 1, VMs: 3, Engines: 1, EngineDelay: 350 * time.Millisecond, Services: 1, ServiceTime: 2 * time.Second,
	})
	awaitConnected(bed)
	var mu sync.Mutex
	wait := startRequests(bed, through(bed), func(name string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	})
	request := keepAlive(t, bed.VMs[0])
	bed.VMs[0].Terminate()
	if header := request(); !strings.Contains(header, "Connection: close") {
		t.Errorf("got %q, want Connection: close", header)
	}
	wait.Wait()
	if err := bed.VMs[0].Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
	assertLogged(t, bed.VMs[0], append(logged, `"event":1006`, `"cut":0`)...)
}

// A graceful shutdown ends at the drain timeout, and the streams that it aborts do
// not look complete.
func TestDrainTimeout(t *testing.T) {
	bed := testbed.New(t, testbed.Options{
		DataCentres: 1, VMs: 2, Engines: 1, EngineDelay: 2 * time.Second, Services: 1, ServiceTime: 20 * time.Second,
		Settings: "[limits]\ndrain_timeout = \"2s\"\n",
	})
	var mu sync.Mutex
	failed := 0
	awaitConnected(bed)
	wait := startRequests(bed, bed.VMs, func(_ string, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed++
		}
	})
	start := time.Now()
	bed.VMs[0].Terminate()
	_ = bed.VMs[0].Wait()
	if took := time.Since(start); took > 6*time.Second {
		t.Errorf("shutdown took %s", took)
	}
	wait.Wait()
	if failed != 4 {
		t.Errorf("%d requests failed, want all 4", failed)
	}
	assertLogged(t, bed.VMs[0], `"event":1004`, `"event":1006`)
}

// keepAlive opens a persistent connection, sends a request on it and returns a
// function that sends a second one and returns the header of its response.
func keepAlive(t *testing.T, vm *testbed.VM) func() string {
	t.Helper()
	c, err := net.Dial("tcp", vm.Caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	r := bufio.NewReader(c)
	roundTrip := func() string {
		_, _ = fmt.Fprint(c, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
		var header strings.Builder
		length := 0
		for {
			line, err := r.ReadString('\n')
			header.WriteString(line)
			_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
			if err != nil || line == "\r\n" {
				break
			}
		}
		_, _ = r.Discard(length)
		return header.String()
	}
	roundTrip()
	return func() string {
		time.Sleep(startDelay)
		return roundTrip()
	}
}

func assertLogged(t *testing.T, vm *testbed.VM, texts ...string) {
	t.Helper()
	log, err := os.ReadFile(vm.LogFile())
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range texts {
		if !strings.Contains(string(log), text) {
			t.Errorf("log of %s lacks %s", vm.Name, text)
		}
	}
}
