package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/observe/clock"
	"hawthornrail.example/hawthornrail/internal/operator/change"
	"hawthornrail.example/hawthornrail/internal/operator/cmds"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/standin/platform"
	"hawthornrail.example/hawthornrail/internal/vm/dial"
)

// fixture is a platform with one engine and one service, and a directory of
// files.
type fixture struct {
	t       *testing.T
	store   *platform.Store
	server  *platform.Server
	address string
	dir     string
}

type result struct {
	code   int
	stdout string
	stderr string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, store: platform.NewStore(), address: l.Addr().String(), dir: t.TempDir()}
	f.server = platform.NewServer(f.store)
	go func() { _ = fasthttp.Serve(l, f.server.Handler()) }()
	t.Cleanup(func() { _ = l.Close() })
	f.put(objects.KindEndpoint, "engine1", objects.Endpoint{Kind: "engine", Serves: []string{"counter"}})
	f.put(objects.KindEndpoint, "orders1", objects.Endpoint{Kind: "service", Serves: []string{"orders"}})
	for _, name := range []string{"branch", "wrong_template"} {
		f.copy(name)
	}
	f.ok("template", "apply", "branch.toml")
	return f
}

func (f *fixture) put(kind, name string, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	current, _ := f.store.Get(kind, name)
	if _, err := f.store.Put(kind, name, current.Version, data); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) copy(name string) {
	f.t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.file(name, string(text))
}

func (f *fixture) file(name, text string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.dir, name+".toml"), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// run runs a command line. It resolves file names in the fixture's directory and
// removes that directory and the platform's address from the output.
func (f *fixture) run(args ...string) result {
	f.t.Helper()
	full := []string{"hawthornrail"}
	for _, a := range args {
		if strings.HasSuffix(a, ".toml") {
			a = filepath.Join(f.dir, a)
		}
		full = append(full, a)
	}
	if !strings.Contains(strings.Join(args, " "), "--template") && args[1] != "check" || args[0] == "key" {
		full = append(full, "--platform", f.address)
	}
	var stdout, stderr bytes.Buffer
	code := cmds.Main(full, &stdout, &stderr)
	clean := func(s string) string {
		return strings.ReplaceAll(strings.ReplaceAll(s, f.dir+"/", ""), f.address, "PLATFORM")
	}
	return result{code: code, stdout: clean(stdout.String()), stderr: clean(stderr.String())}
}

func (f *fixture) ok(args ...string) string {
	f.t.Helper()
	r := f.run(args...)
	assertCode(f.t, r, cmds.ExitOK)
	return r.stdout
}

func assertCode(t *testing.T, r result, want int) {
	t.Helper()
	if r.code != want {
		t.Fatalf("exit code %d, want %d; %s%s", r.code, want, r.stdout, r.stderr)
	}
}

func assertGolden(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t).Assert(t, name, []byte(text))
}

const counter = `template = "branch"
[parameters]
team = "cordillera"
rate = 600.0
`

func (f *fixture) deployment(name string) objects.Deployment {
	f.t.Helper()
	o, err := f.store.Get(objects.KindDeployment, name)
	if err != nil {
		f.t.Fatal(err)
	}
	var d objects.Deployment
	if err := json.Unmarshal(o.Value, &d); err != nil {
		f.t.Fatal(err)
	}
	return d
}

func TestRenderAndCheckFiles(t *testing.T) {
	f := newFixture(t)
	f.file("counter", counter)
	t.Run("render", func(t *testing.T) {
		assertGolden(t, "render", f.ok("deployment", "render", "counter.toml", "--template", "branch.toml"))
	})
	t.Run("render as json", func(t *testing.T) {
		assertGolden(t, "render_json", f.ok("deployment", "render", "counter.toml", "--template", "branch.toml", "--output", "json"))
	})
	t.Run("template's parameters", func(t *testing.T) {
		assertGolden(t, "parameters", f.ok("template", "check", "branch.toml"))
	})
	t.Run("every error of a template at once", func(t *testing.T) {
		r := f.run("template", "check", "wrong_template.toml")
		assertCode(t, r, cmds.ExitInvalid)
		assertGolden(t, "template_errors", r.stderr)
	})
	t.Run("every error of a deployment at once", func(t *testing.T) {
		f.file("wrong", "template = \"branch\"\n[parameters]\nrate = 7000.0\nburst = \"many\"\nwall_time = \"5 parsecs\"\nmodels = [\"counter\", \"other\"]\ncut_off = \"stop\"\nspeed = 3\n[limits]\nx = 1\n")
		r := f.run("deployment", "render", "wrong.toml", "--template", "branch.toml")
		assertCode(t, r, cmds.ExitInvalid)
		assertGolden(t, "deployment_errors", r.stderr)
	})
	t.Run("no template", func(t *testing.T) {
		f.file("bare", "[parameters]\nrate = 1.0\n")
		r := f.run("deployment", "render", "bare.toml")
		assertCode(t, r, cmds.ExitInvalid)
		f.file("other", strings.Replace(counter, "branch", "missing", 1))
		second := f.run("deployment", "render", "other.toml")
		assertCode(t, second, cmds.ExitInvalid)
		assertGolden(t, "no_template", r.stderr+second.stderr)
	})
	t.Run("syntax", func(t *testing.T) {
		f.file("broken", "template = \"branch\"\n[parameters\n")
		r := f.run("deployment", "render", "broken.toml", "--template", "branch.toml")
		assertCode(t, r, cmds.ExitInvalid)
		assertGolden(t, "syntax_errors", r.stderr)
	})
}

func TestApply(t *testing.T) {
	f := newFixture(t)
	f.file("counter", counter)
	t.Run("dry run writes nothing", func(t *testing.T) {
		before := f.server.Counts().Writes
		assertGolden(t, "dry_run", f.ok("deployment", "apply", "counter.toml", "--dry-run"))
		if f.server.Counts().Writes != before {
			t.Error("the platform was written to")
		}
	})
	t.Run("new", func(t *testing.T) {
		f.ok("deployment", "apply", "counter.toml", "--reason", "first")
		if got := f.deployment("counter").RatePerSecond; got != 600 {
			t.Errorf("got rate %g, want 600", got)
		}
	})
	t.Run("unchanged file writes nothing", func(t *testing.T) {
		before := f.server.Counts().Writes
		assertGolden(t, "unchanged", f.ok("deployment", "apply", "counter.toml"))
		if f.server.Counts().Writes != before {
			t.Error("the platform was written to")
		}
	})
	t.Run("diff", func(t *testing.T) {
		f.file("counter", strings.Replace(counter, "600.0", "500.0", 1))
		assertGolden(t, "diff", f.ok("deployment", "diff", "counter.toml"))
	})
	t.Run("rollback is a new version", func(t *testing.T) {
		f.ok("deployment", "apply", "counter.toml", "--reason", "second")
		o, _ := f.store.Get(objects.KindDeployment, "counter")
		f.ok("deployment", "rollback", "counter", "--to", "1", "--reason", "third")
		back, _ := f.store.Get(objects.KindDeployment, "counter")
		if got := f.deployment("counter").RatePerSecond; got != 600 || back.Version <= o.Version {
			t.Errorf("got rate %g at version %d, want 600 after version %d", got, back.Version, o.Version)
		}
		assertHistory(t, f, "first", "second", "third")
	})
	t.Run("history is bounded", func(t *testing.T) {
		for range 6 {
			for _, rate := range []string{"10.0", "20.0"} {
				f.file("counter", strings.Replace(counter, "600.0", rate, 1))
				f.ok("deployment", "apply", "counter.toml", "--reason", "x")
			}
		}
		assertHistory(t, f, "x", "x", "x", "x", "x", "x", "x", "x")
	})
}

func assertHistory(t *testing.T, f *fixture, reasons ...string) {
	t.Helper()
	var h objects.History
	if err := json.Unmarshal([]byte(f.ok("deployment", "history", "counter", "--output", "json")), &h); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range h.Entries {
		got = append(got, e.Reason)
	}
	if strings.Join(got, " ") != strings.Join(reasons, " ") {
		t.Errorf("got history %q, want %q", got, reasons)
	}
}

func TestFindings(t *testing.T) {
	f := newFixture(t)
	f.file("counter", counter)
	f.ok("deployment", "apply", "counter.toml")
	key := strings.TrimSpace(f.ok("key", "issue", "counter"))
	id := strings.Split(key, "_")[1]
	f.ok("deployment", "capacity", "--rate", "1000")
	t.Run("refused", func(t *testing.T) {
		f.file("gloves", "template = \"branch\"\n[parameters]\nteam = \"verhaeghe\"\nrate = 500.0\nmodels = [\"quote\"]\nservices = [\"invoices\"]\n")
		f.file("counter", strings.Replace(counter, "cordillera", "verhaeghe", 1))
		before := f.server.Counts().Writes
		r := f.run("deployment", "apply", "gloves.toml", "counter.toml")
		assertCode(t, r, cmds.ExitInvalid)
		assertGolden(t, "findings", r.stderr)
		if f.server.Counts().Writes != before {
			t.Error("the platform was written to")
		}
	})
	t.Run("accepted by --allow", func(t *testing.T) {
		r := f.run("deployment", "apply", "gloves.toml", "counter.toml", "--reason", "new season",
			"--allow", "unknown_model", "--allow", "unknown_service", "--allow", "over_capacity", "--allow", "no_working_key")
		assertCode(t, r, cmds.ExitOK)
		assertGolden(t, "allowed", r.stderr)
		assertHistory(t, f, "", "new season (allowed: unknown_model, unknown_service, over_capacity, no_working_key)")
	})
	t.Run("last key of a team", func(t *testing.T) {
		r := f.run("key", "withdraw", id)
		assertCode(t, r, cmds.ExitInvalid)
		assertGolden(t, "last_key", r.stderr)
		f.ok("key", "withdraw", id, "--allow", "no_working_key")
		f.ok("key", "withdraw", id)
	})
	t.Run("unknown reason", func(t *testing.T) {
		r := f.run("deployment", "apply", "counter.toml", "--allow", "anything")
		assertCode(t, r, cmds.ExitUsage)
	})
}

func (f *fixture) editor() *change.Editor {
	return change.New(client.New(f.address, dial.New(nil)), clock.Real())
}

func (f *fixture) load(e *change.Editor) change.Live {
	f.t.Helper()
	l, err := e.Load(context.Background())
	if err != nil {
		f.t.Fatal(err)
	}
	return l
}

func (f *fixture) changeObjects(l change.Live, team string) []objects.ChangeObject {
	f.t.Helper()
	p, err := change.NewObject(l, objects.KindDeployment, "counter", objects.Deployment{Team: team})
	if err != nil {
		f.t.Fatal(err)
	}
	return []objects.ChangeObject{p}
}

func TestFailures(t *testing.T) {
	t.Run("a conflict error shows both changes", func(t *testing.T) {
		f := newFixture(t)
		first, second := f.editor(), f.editor()
		x, y := f.load(first), f.load(second)
		if _, err := first.Commit(context.Background(), x, "theirs", f.changeObjects(x, "a")); err != nil {
			t.Fatal(err)
		}
		_, err := second.Commit(context.Background(), y, "mine", f.changeObjects(y, "b"))
		if err == nil || !strings.Contains(err.Error(), `"team":"b"`) || !strings.Contains(err.Error(), "(theirs)") {
			t.Errorf("got %v, want both changes", err)
		}
		if got := f.deployment("counter").Team; got != "a" {
			t.Errorf("team %s is in force", got)
		}
	})
	t.Run("a lost response is not a failure", func(t *testing.T) {
		f := newFixture(t)
		f.file("counter", counter)
		f.server.SetFaults(platform.Faults{LoseResponses: true})
		f.ok("deployment", "apply", "counter.toml", "--reason", "once")
		f.ok("key", "issue", "counter")
		assertHistory(t, f, "once")
		if got := f.deployment("counter").RatePerSecond; got != 600 {
			t.Errorf("got rate %g, want 600", got)
		}
	})
	t.Run("an outage exits with the unavailable code", func(t *testing.T) {
		f := newFixture(t)
		f.file("counter", counter)
		f.server.SetFaults(platform.Faults{Outage: true})
		assertCode(t, f.run("deployment", "apply", "counter.toml"), cmds.ExitUnavailable)
	})
	t.Run("the next operator finishes a change", func(t *testing.T) {
		f := newFixture(t)
		value, err := json.Marshal(objects.Deployment{Team: "a"})
		if err != nil {
			t.Fatal(err)
		}
		f.put(objects.KindChange, objects.ChangeName, objects.Change{ID: "1", Reason: "half", Objects: []objects.ChangeObject{
			{Kind: objects.KindDeployment, Name: "counter", Value: value},
			{Kind: objects.KindDeployment, Name: "gloves", Value: value},
		}})
		assertHistory(t, f, "half")
		if f.deployment("counter").Team != "a" || f.deployment("gloves").Team != "a" {
			t.Error("the change was not copied")
		}
	})
}

// Concurrent operators with lost responses: Commit must report correctly whether
// the change took effect, and the history must have each change exactly once.
func TestConcurrentOperators(t *testing.T) {
	const operators, changes = 4, 10
	f := newFixture(t)
	stop := make(chan struct{})
	go func() {
		for lose := true; ; lose = !lose {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
				f.server.SetFaults(platform.Faults{LoseResponses: lose})
			}
		}
	}()
	var mu sync.Mutex
	reported := make(map[string]bool)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range changes {
				reason := fmt.Sprintf("%d.%d", i, n)
				succeeded := f.tryChange(reason)
				mu.Lock()
				reported[reason] = succeeded
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	close(stop)
	f.server.SetFaults(platform.Faults{})
	f.load(f.editor())
	accepted, inHistory := f.accepted()
	succeeded := 0
	for reason, committed := range reported {
		if committed != accepted[reason] {
			t.Errorf("change %s: reported %t, took effect %t", reason, committed, accepted[reason])
		}
		if accepted[reason] {
			succeeded++
		}
	}
	if succeeded == 0 || succeeded == operators*changes {
		t.Errorf("%d of %d changes took effect: no race", succeeded, operators*changes)
	}
	for reason, n := range inHistory {
		if n != 1 {
			t.Errorf("change %s is %d times in the history", reason, n)
		}
	}
}

func (f *fixture) tryChange(reason string) bool {
	e := f.editor()
	l, err := e.Load(context.Background())
	if err != nil {
		return false
	}
	_, err = e.Commit(context.Background(), l, reason, f.changeObjects(l, reason))
	return err == nil
}

// accepted returns the reasons of all changes that were ever accepted, and how
// often the stored history has each of them.
func (f *fixture) accepted() (map[string]bool, map[string]int) {
	f.t.Helper()
	events, _, err := f.store.Since(0)
	if err != nil {
		f.t.Fatal(err)
	}
	accepted, inHistory := make(map[string]bool), make(map[string]int)
	for _, o := range events {
		var c objects.Change
		if o.Kind == objects.KindChange && json.Unmarshal(o.Value, &c) == nil {
			accepted[c.Reason] = true
		}
	}
	o, _ := f.store.Get(objects.KindHistory, "counter")
	var h objects.History
	_ = json.Unmarshal(o.Value, &h)
	for _, e := range h.Entries {
		inHistory[e.Reason]++
	}
	return accepted, inHistory
}
