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

// propagationLimit is the time within which a change has to reach every VM.
const propagationLimit = 3 * time.Second

// streamedResponse is a streamed response, which may be truncated.
type streamedResponse struct {
	text      string
	truncated bool
}

func stream(vm *testbed.VM, key, program string, number int) (streamedResponse, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, testbed.Model)
	request, err := http.NewRequest(http.MethodPost, "http://"+vm.Caller+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return streamedResponse{}, fmt.Errorf("stream: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range testbed.ProgramHeaders(program, number) {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return streamedResponse{}, fmt.Errorf("stream: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return streamedResponse{text: string(text), truncated: err != nil}, nil
}

func assertAllRefuse(t *testing.T, bed *testbed.Bed, key string) {
	t.Helper()
	bed.Eventually(propagationLimit, "every VM refuses the key", func() bool {
		for _, vm := range bed.VMs {
			if vm.Ask(key, "", 1, "hello").Code != "key_withdrawn" {
				return false
			}
		}
		return true
	})
}

// A revoked key stops working within 3 seconds: every VM refuses its requests, and
// streams and calls in flight end with a verdict that says whether they ran.
func TestRevokedKeyEndsRequests(t *testing.T) {
	bed := testbed.New(t, testbed.Options{
		DataCentres: 2, VMs: 2, Engines: 1, Services: 1,
		EngineDelay: 500 * time.Millisecond, ServiceTime: 6 * time.Second,
	})
	// The bucket of a team is empty when a VM first learns of the team.
	for _, vm := range bed.VMs {
		vm.Ask(bed.Key, "", 1, "hello")
	}
	program := bed.VMs[0].CreateProgram(bed.Key)
	remote := bed.VMs[0].CreateProgram(bed.Key)
	order := bed.VMs[1].CreateProgram(bed.Key)
	assertOK(t, testbed.Retry(func() testbed.Reply { return bed.VMs[3].Ask(bed.Key, remote, 1, "hello") }))
	var wait sync.WaitGroup
	responses := make([]streamedResponse, 2)
	wait.Add(3)
	go func() { defer wait.Done(); responses[0], _ = stream(bed.VMs[0], bed.Key, program, 1) }()
	go func() { defer wait.Done(); responses[1], _ = stream(bed.VMs[3], bed.Key, remote, 2) }()
	var service testbed.Reply
	go func() { defer wait.Done(); service = bed.VMs[1].Order(bed.Key, order, 1) }()
	time.Sleep(time.Second)
	revokedAt := time.Now()
	bed.RevokeKey(bed.Key)
	assertAllRefuse(t, bed, bed.Key)
	wait.Wait()
	took := time.Since(revokedAt)
	t.Logf("requests in flight ended %s after the revocation", took)
	if took > propagationLimit {
		t.Errorf("requests in flight ended %s after the revocation", took)
	}
	for i, r := range responses {
		if !r.truncated || !strings.Contains(r.text, `"key_withdrawn"`) || !strings.Contains(r.text, `"may_have_run"`) || strings.Contains(r.text, "[DONE]") {
			t.Errorf("stream %d ended with %q", i, r.text)
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

// A VM that can't reach the platform receives changes of keys from a peer that
// can, whichever VM that is.
func TestKeyChangesThroughOnePeer(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 3, Engines: 1, Services: 1})
	for _, connected := range bed.VMs {
		t.Run(connected.Name, func(t *testing.T) {
			for _, vm := range bed.VMs {
				if vm != connected {
					bed.Cut(vm.Name, "platform")
				}
			}
			start := time.Now()
			key := bed.IssueKey(testbed.Deployment)
			bed.Eventually(propagationLimit, "every VM accepts the key", func() bool {
				for _, vm := range bed.VMs {
					if !vm.Ask(key, "", 1, "hello").OK() {
						return false
					}
				}
				return true
			})
			issued := time.Since(start)
			start = time.Now()
			bed.RevokeKey(key)
			assertAllRefuse(t, bed, key)
			t.Logf("issued in %s, revoked in %s", issued, time.Since(start))
			for _, vm := range bed.VMs {
				bed.Heal(vm.Name, "platform")
			}
		})
	}
}

// A home accepts a call with a key that it has not received yet, because the VM
// that checked the key has a later revision.
func TestNewKeyAtHomeWithOlderRevision(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 1, Engines: 1, Services: 1})
	home, entry := bed.VMs[0], bed.VMs[1]
	program := home.CreateProgram(bed.Key)
	assertOK(t, testbed.Retry(func() testbed.Reply { return entry.Ask(bed.Key, program, 1, "hello") }))
	bed.Cut(home.Name, "platform")
	bed.Cut(home.Name, entry.Name)
	key := bed.IssueKey(testbed.Deployment)
	bed.Eventually(propagationLimit, "the entry VM accepts the key", func() bool { return entry.Ask(key, "", 1, "hello").OK() })
	assertOK(t, entry.Ask(key, program, 2, "hello"))
}

// A VM that starts during an outage of the platform serves the configuration of
// its peers and receives the next change.
func TestStartDuringPlatformOutage(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1, Services: 1, Seeds: true})
	bed.Platform.SetFaults(platform.Faults{Outage: true})
	for _, vm := range bed.VMs[:2] {
		vm.Kill()
		// The other VMs can't connect to the VM, so it has to find them through
		// its seeds.
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
	bed.RevokeKey(bed.Key)
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

// A deployment determines whether its requests are served or refused in a data
// centre that is partitioned and receives no changes.
func TestPartitionedDataCentre(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 2, Engines: 1, Services: 1})
	strict := testbed.DefaultDeployment()
	strict.WhenStale, strict.StaleAfterMS = "refuse", 3000
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
		t.Error("the refusal does not say when to retry")
	}
	assertRefused(t, vm.Call(key, http.MethodPost, "/v1/programs", nil, nil), 503, "config_stale", "not_run")
	assertOK(t, testbed.Retry(func() testbed.Reply { return vm.Ask(bed.Key, "", 1, "hello") }))
	bed.Rejoin("dc1")
	bed.Eventually(10*time.Second, "the strict deployment is served again", func() bool {
		return vm.Ask(key, "", 1, "hello").OK()
	})
}

// A request runs only on behalf of the team of its key; only a route object makes
// a path public.
func TestAuthorisation(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, Services: 1})
	order := func(key, path string) testbed.Reply {
		return bed.VMs[0].Call(key, http.MethodPost, "/v1/services/"+testbed.Service+path, nil, []byte(`{}`))
	}
	t.Run("no path is public by default", func(t *testing.T) {
		assertRefused(t, order("", "/public"), 401, "unauthorized", "not_run")
	})
	t.Run("a route object makes only its own path public", func(t *testing.T) {
		bed.Put(objects.KindRoute, "public", objects.Route{Service: testbed.Service, Path: "/public", Deployment: testbed.Deployment})
		bed.Eventually(propagationLimit, "the route is public", func() bool { return order("", "/public").OK() })
		assertRefused(t, order("", "/orders"), 401, "unauthorized", "not_run")
		assertRefused(t, order("", "/public/more"), 401, "unauthorized", "not_run")
		other := bed.VMs[0].Call("", http.MethodPost, "/v1/services/invoices/public", nil, []byte(`{}`))
		assertRefused(t, other, 401, "unauthorized", "not_run")
	})
	t.Run("a key that moves to another team loses access to the former team's programs", func(_ *testing.T) {
		program := bed.VMs[0].CreateProgram(bed.Key)
		other := testbed.DefaultDeployment()
		other.Team = "verhaeghe"
		bed.Apply("gloves", other)
		bed.MoveKey(bed.Key, "gloves")
		bed.Eventually(propagationLimit, "every VM refuses the program", func() bool {
			for _, vm := range bed.VMs {
				if vm.Ask(bed.Key, program, 1, "hello").Code != "unknown_program" {
					return false
				}
			}
			return true
		})
	})
	t.Run("a key with a wrong secret is refused", func(t *testing.T) {
		forged := bed.Key[:len(bed.Key)-1] + "0"
		if forged == bed.Key {
			forged = bed.Key[:len(bed.Key)-1] + "1"
		}
		assertRefused(t, bed.VMs[0].Ask(forged, "", 1, "hello"), 401, "unauthorized", "not_run")
	})
}

// While idle and during changes the platform receives few calls, and their number
// does not grow with the number of VMs in a data centre.
func TestPlatformLoad(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 2, VMs: 5, Engines: 1, Services: 1})
	time.Sleep(5 * time.Second)
	const watchers = 4
	measure := func(phase string, seconds int, each func()) platform.Counts {
		before := bed.Platform.Counts()
		for range seconds {
			each()
			time.Sleep(time.Second)
		}
		after := bed.Platform.Counts()
		perMinute := func(n uint64) float64 { return float64(n) * 60 / float64(seconds) / float64(len(bed.VMs)) }
		d := platform.Counts{Reads: after.Reads - before.Reads, Lists: after.Lists - before.Lists, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches}
		t.Logf("%s, %d VMs: %.1f reads, %.1f writes, %.1f watches per minute and VM", phase, len(bed.VMs),
			perMinute(d.Reads), perMinute(d.Writes), perMinute(d.Watches))
		return d
	}
	idle := measure("while idle", 10, func() {})
	if idle.Reads+idle.Writes != 0 || idle.Watches > watchers*11 {
		t.Errorf("got %+v in 10 s, want at most %d watches", idle, watchers*11)
	}
	changing := measure("one change per second", 10, func() { bed.Apply(testbed.Deployment, testbed.DefaultDeployment()) })
	if changing.Reads+changing.Writes != 0 || changing.Watches > watchers*22 {
		t.Errorf("got %+v in 10 s, want at most %d watches", changing, watchers*22)
	}
	bed.Platform.SetFaults(platform.Faults{Outage: true})
	measure("outage", 10, func() {})
	bed.Platform.SetFaults(platform.Faults{})
	recovered := measure("after the outage", 10, func() {})
	// A VM may read one object to detect that the platform is available again.
	if recovered.Lists != 0 || recovered.Reads > uint64(len(bed.VMs)) {
		t.Errorf("got %+v after the outage, want no list and at most one read per VM", recovered)
	}
}
