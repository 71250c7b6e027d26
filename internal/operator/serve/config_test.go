package serve_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/standin/platform"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

const withdrawLimit = 3 * time.Second

// streamAnswer reads a streamed answer to its end, or to the time it is cut.
type streamAnswer struct {
	text string
	cut  bool
}

func stream(vm *testbed.VM, key, program string, number int) (streamAnswer, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, testbed.Model)
	request, err := http.NewRequest(http.MethodPost, "http://"+vm.Caller+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return streamAnswer{}, fmt.Errorf("stream: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range testbed.ProgramHeaders(program, number) {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return streamAnswer{}, fmt.Errorf("stream: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return streamAnswer{text: string(text), cut: err != nil}, nil
}

func assertAllRefuse(t *testing.T, bed *testbed.Bed, key string) {
	t.Helper()
	bed.Eventually(withdrawLimit, "every VM refuses the key", func() bool {
		for _, vm := range bed.VMs {
			if vm.Ask(key, "", 1, "hello").Code != "key_withdrawn" {
				return false
			}
		}
		return true
	})
}

// A withdrawn key stops within 3 seconds: requests to every VM, streams and
// calls under way, whose callers learn whether the call ran.
func TestWithdrawnKey(t *testing.T) {
	bed := testbed.New(t, testbed.Options{
		DataCentres: 2, VMs: 2, Engines: 1, Services: 1,
		EngineDelay: 500 * time.Millisecond, ServiceTime: 6 * time.Second,
	})
	// A bucket is empty when its VM hears of the team first.
	for _, vm := range bed.VMs {
		vm.Ask(bed.Key, "", 1, "hello")
	}
	program := bed.VMs[0].CreateProgram(bed.Key)
	remote := bed.VMs[0].CreateProgram(bed.Key)
	order := bed.VMs[1].CreateProgram(bed.Key)
	assertOK(t, testbed.Retry(func() testbed.Reply { return bed.VMs[3].Ask(bed.Key, remote, 1, "hello") }))
	var wait sync.WaitGroup
	answers := make([]streamAnswer, 2)
	wait.Add(3)
	go func() { defer wait.Done(); answers[0], _ = stream(bed.VMs[0], bed.Key, program, 1) }()
	go func() { defer wait.Done(); answers[1], _ = stream(bed.VMs[3], bed.Key, remote, 2) }()
	var service testbed.Reply
	go func() { defer wait.Done(); service = bed.VMs[1].Order(bed.Key, order, 1) }()
	time.Sleep(time.Second)
	withdrawn := time.Now()
	bed.WithdrawKey(bed.Key)
	assertAllRefuse(t, bed, bed.Key)
	wait.Wait()
	took := time.Since(withdrawn)
	t.Logf("requests under way ended %s after the withdrawal", took)
	if took > withdrawLimit {
		t.Errorf("requests under way ended %s after the withdrawal", took)
	}
	for i, a := range answers {
		if !a.cut || !strings.Contains(a.text, `"key_withdrawn"`) || !strings.Contains(a.text, `"may_have_run"`) || strings.Contains(a.text, "[DONE]") {
			t.Errorf("stream %d ended with %q", i, a.text)
		}
	}
	assertRefused(t, service, 401, "key_withdrawn", "may_have_run")
	t.Run("programs", func(t *testing.T) {
		reply := bed.VMs[0].Call(bed.Key, http.MethodPost, "/v1/programs", nil, nil)
		assertRefused(t, reply, 401, "key_withdrawn", "not_run")
		reply = bed.VMs[0].Call(bed.Key, http.MethodDelete, "/v1/programs/"+program, nil, nil)
		assertRefused(t, reply, 401, "key_withdrawn", "not_run")
	})
	t.Run("the order ran once", func(_ *testing.T) {
		bed.Eventually(20*time.Second, "the order ran", func() bool { return len(bed.Executions()) == 1 })
	})
}

// A VM that can't reach the platform hears of keys from any peer that can,
// whichever that is.
func TestKeysThroughOnePeer(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 3, Engines: 1, Services: 1})
	for _, reaches := range bed.VMs {
		t.Run(reaches.Name, func(t *testing.T) {
			for _, vm := range bed.VMs {
				if vm != reaches {
					bed.Cut(vm.Name, "platform")
				}
			}
			start := time.Now()
			key := bed.IssueKey(testbed.Deployment)
			bed.Eventually(withdrawLimit, "every VM takes the key", func() bool {
				for _, vm := range bed.VMs {
					if !vm.Ask(key, "", 1, "hello").OK() {
						return false
					}
				}
				return true
			})
			issued := time.Since(start)
			start = time.Now()
			bed.WithdrawKey(key)
			assertAllRefuse(t, bed, key)
			t.Logf("issued in %s, withdrawn in %s", issued, time.Since(start))
			for _, vm := range bed.VMs {
				bed.Heal(vm.Name, "platform")
			}
		})
	}
}

// A key that the home of a program has not heard of yet works there, since the
// VM that checked it is ahead.
func TestNewKeyAtHomeBehind(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 1, Engines: 1, Services: 1})
	home, entry := bed.VMs[0], bed.VMs[1]
	program := home.CreateProgram(bed.Key)
	assertOK(t, testbed.Retry(func() testbed.Reply { return entry.Ask(bed.Key, program, 1, "hello") }))
	bed.Cut(home.Name, "platform")
	bed.Cut(home.Name, entry.Name)
	key := bed.IssueKey(testbed.Deployment)
	bed.Eventually(withdrawLimit, "the entry takes the key", func() bool { return entry.Ask(key, "", 1, "hello").OK() })
	assertOK(t, entry.Ask(key, program, 2, "hello"))
}

// A VM that starts while the platform is away serves the configuration of its
// peers and takes part in the next change.
func TestStartInOutage(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1, Services: 1, Seeds: true})
	bed.Platform.SetFaults(platform.Faults{Outage: true})
	for _, vm := range bed.VMs[:2] {
		vm.Kill()
		// Nobody else can make the VM's address known to it.
		for _, other := range bed.VMs {
			if other != vm {
				bed.Cut(other.Name, vm.Name)
			}
		}
		vm.Start()
		vm.WaitReady()
		for _, other := range bed.VMs {
			if other != vm {
				bed.Heal(other.Name, vm.Name)
			}
		}
		assertOK(t, testbed.Retry(func() testbed.Reply { return vm.Ask(bed.Key, "", 1, "hello") }))
	}
	bed.WithdrawKey(bed.Key)
	bed.Platform.SetFaults(platform.Faults{})
	bed.Eventually(10*time.Second, "every VM refuses the key", func() bool {
		for _, vm := range bed.VMs {
			if vm.Ask(bed.Key, "", 1, "hello").Code != "key_withdrawn" {
				return false
			}
		}
		return true
	})
}

// A deployment says what happens to its requests in a data centre that can't
// hear changes.
func TestCutOff(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1, Services: 1})
	strict := testbed.DefaultDeployment()
	strict.WhenCutOff, strict.StaleAfterMS = "refuse", 3000
	bed.Apply("strict", strict)
	key := bed.IssueKey("strict")
	for _, vm := range bed.VMs {
		vm.WaitReady()
	}
	assertOK(t, testbed.Retry(func() testbed.Reply { return bed.VMs[0].Ask(key, "", 1, "hello") }))
	bed.Isolate("dc1")
	vm := bed.VMs[0]
	bed.Eventually(6*time.Second, "the strict deployment is refused", func() bool {
		return vm.Ask(key, "", 1, "hello").Code == "config_stale"
	})
	reply := vm.Ask(key, "", 1, "hello")
	assertRefused(t, reply, 503, "config_stale", "not_run")
	if reply.Retry <= 0 {
		t.Error("the refusal does not say when to come back")
	}
	assertRefused(t, vm.Call(key, http.MethodPost, "/v1/programs", nil, nil), 503, "config_stale", "not_run")
	assertOK(t, testbed.Retry(func() testbed.Reply { return vm.Ask(bed.Key, "", 1, "hello") }))
	bed.Rejoin("dc1")
	bed.Eventually(10*time.Second, "the strict deployment is served again", func() bool {
		return vm.Ask(key, "", 1, "hello").OK()
	})
}

// A request runs only for the team whose key came with it; only a route
// object opens a path to all.
func TestTeams(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, Services: 1})
	order := func(key, path string) testbed.Reply {
		return bed.VMs[0].Call(key, http.MethodPost, "/v1/services/"+testbed.Service+path, nil, []byte(`{}`))
	}
	t.Run("no route is open by itself", func(t *testing.T) {
		assertRefused(t, order("", "/public"), 401, "unauthorized", "not_run")
	})
	t.Run("a route object opens its path only", func(t *testing.T) {
		bed.Put(objects.KindRoute, "public", objects.Route{Service: testbed.Service, Path: "/public", Deployment: testbed.Deployment})
		bed.Eventually(withdrawLimit, "the route is open", func() bool { return order("", "/public").OK() })
		assertRefused(t, order("", "/orders"), 401, "unauthorized", "not_run")
		assertRefused(t, order("", "/public/more"), 401, "unauthorized", "not_run")
		other := bed.VMs[0].Call("", http.MethodPost, "/v1/services/invoices/public", nil, []byte(`{}`))
		assertRefused(t, other, 401, "unauthorized", "not_run")
	})
	t.Run("a key that moves to another team loses the first one's programs", func(_ *testing.T) {
		program := bed.VMs[0].CreateProgram(bed.Key)
		other := testbed.DefaultDeployment()
		other.Team = "verhaeghe"
		bed.Apply("gloves", other)
		bed.MoveKey(bed.Key, "gloves")
		bed.Eventually(withdrawLimit, "every VM refuses the program", func() bool {
			for _, vm := range bed.VMs {
				if vm.Ask(bed.Key, program, 1, "hello").Code != "unknown_program" {
					return false
				}
			}
			return true
		})
	})
	t.Run("the secret part is checked", func(t *testing.T) {
		forged := bed.Key[:len(bed.Key)-1] + "0"
		if forged == bed.Key {
			forged = bed.Key[:len(bed.Key)-1] + "1"
		}
		assertRefused(t, bed.VMs[0].Ask(forged, "", 1, "hello"), 401, "unauthorized", "not_run")
	})
}

// At rest and during changes the platform takes few calls, and none more for
// each further VM of a data centre.
func TestPlatformLoad(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 5, Engines: 1, Services: 1})
	time.Sleep(5 * time.Second)
	const watching = 4
	measure := func(what string, seconds int, each func()) platform.Counts {
		before := bed.Platform.Counts()
		for range seconds {
			each()
			time.Sleep(time.Second)
		}
		after := bed.Platform.Counts()
		perMinute := func(n uint64) float64 { return float64(n) * 60 / float64(seconds) / float64(len(bed.VMs)) }
		d := platform.Counts{Reads: after.Reads - before.Reads, Lists: after.Lists - before.Lists, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches}
		t.Logf("%s, %d VMs: %.1f reads, %.1f writes, %.1f watches a minute and VM", what, len(bed.VMs),
			perMinute(d.Reads), perMinute(d.Writes), perMinute(d.Watches))
		return d
	}
	rest := measure("at rest", 10, func() {})
	if rest.Reads+rest.Writes != 0 || rest.Watches > watching*11 {
		t.Errorf("got %+v in 10 s, want at most %d watches", rest, watching*11)
	}
	changing := measure("one change a second", 10, func() { bed.Apply(testbed.Deployment, testbed.DefaultDeployment()) })
	if changing.Reads+changing.Writes != 0 || changing.Watches > watching*22 {
		t.Errorf("got %+v in 10 s, want at most %d watches", changing, watching*22)
	}
	bed.Platform.SetFaults(platform.Faults{Outage: true})
	measure("outage", 10, func() {})
	bed.Platform.SetFaults(platform.Faults{})
	back := measure("after the outage", 10, func() {})
	// A VM may read one object to find out that the platform is back.
	if back.Lists != 0 || back.Reads > uint64(len(bed.VMs)) {
		t.Errorf("got %+v after the outage, want no list and at most one read a VM", back)
	}
}
