package crowd_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/objects"
	"hawthornrail.example/hawthornrail/internal/standin/worker"
)

const (
	startTimeout = 20 * time.Second
	// sampleInterval is how often the memory and descriptors of a process are read.
	sampleInterval = 20 * time.Millisecond
	host           = "a.example"
	key            = "k1"
)

// system is a platform on loopback whose VMs are processes: one VM with a disk, and the
// entry VMs that tests start.
type system struct {
	binary string
	store  string
	worker *worker.Worker
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{binary: filepath.Join(t.TempDir(), "hawthornrail")}
	build := exec.Command("go", "build", "-o", s.binary, "hawthornrail.example/hawthornrail/cmd/hawthornrail")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	l := listen(t)
	store := objects.Start(l)
	t.Cleanup(store.Close)
	s.store = l.Addr().String()
	s.worker = worker.Start(listen(t), "w1", 0, 0)
	store.Put("config", "main", map[string]any{
		"version":  3,
		"routes":   []any{map[string]any{"name": "orders", "host": host, "path_prefix": "/orders/", "type": "non_idempotent", "service": "desk", "timeout_ms": 5000, "slo_ms": 200, "max_attempts": 1}},
		"services": []any{map[string]any{"name": "desk", "max_conns": 10}},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{key}, "rate_per_s": 1000, "burst": 1000}},
	})
	store.Put("servers", "w1", map[string]any{"service": "desk", "address": s.worker.Address(), "zone": "dc1", "slots": 16, "state": "ready", "seq": 1})
	s.start(t, "storage", fmt.Sprintf("[disk]\nfolder = %q\nfirst_start = true\n", t.TempDir()), "disk", "")
	return s
}

// start starts a process; listeners are further lines of the section listen.
func (s *system) start(t *testing.T, command, sections, name, listeners string) *process {
	t.Helper()
	settings := fmt.Sprintf("[vm]\nname = %q\ndata_centre = \"dc1\"\ndata_centres = [\"dc1\"]\n[store]\naddress = %q\n[shutdown]\ngrace_ms = 1500\n[listen]\npeers = %q\n%s%s",
		name, s.store, freeAddress(t), listeners, sections)
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(s.binary, command, "--settings", file), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit status of a process that is killed is an error.
		_ = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		_ = log.Close()
	})
	return p
}

// startEntry starts an entry VM with the given section limits and waits until it is
// ready.
func (s *system) startEntry(t *testing.T, limits string) (p *process, address string) {
	t.Helper()
	address, readiness := freeAddress(t), freeAddress(t)
	p = s.start(t, "edge", "[limits]\n"+limits, "vm1", fmt.Sprintf("callers = %q\nreadiness = %q\n", address, readiness))
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		response, err := http.Get("http://" + readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return p, address
		}
	}
	t.Fatal("the entry VM does not become ready")
	return nil, ""
}

// process is a running VM.
type process struct {
	command *exec.Cmd
	ended   chan struct{}

	mu          sync.Mutex
	memory      int
	descriptors int
}

// watch reads the memory and descriptors of the process until stop is closed, and kills
// it above maxMemory as the platform does.
func (p *process) watch(maxMemory int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
		if p.sample() > maxMemory {
			// It fails only if the process has ended.
			_ = p.command.Process.Kill()
		}
	}
}

// sample records the highest memory and number of descriptors, and returns the former
// in bytes.
func (p *process) sample() int {
	folder := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return 0
	}
	kilobytes := 0
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	open, _ := os.ReadDir(folder + "fd")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memory, p.descriptors = max(p.memory, kilobytes<<10), max(p.descriptors, len(open))
	return kilobytes << 10
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
