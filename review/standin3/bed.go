//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/objects"
)

const (
	// program is the project's program, as the deploy file builds it.
	program = "target/hawthornrail"
	// readyTimeout is how long the machines may take until they are ready.
	readyTimeout = 25 * time.Second
)

// bed is a deployment with its stand-ins.
type bed struct {
	zones    []string
	temp     string
	store    *objects.Store
	storeAt  string
	machines []*machine
	workers  []*worker
	started  time.Time

	mu   sync.Mutex
	file *os.File
}

// cannotRun ends the program: the case could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if current != nil {
		current.record("cannot run: "+format, args...)
		current.stop()
	}
	os.Exit(2)
}

// current is the bed of this run.
var current *bed

func newBed(recordPath string, zones ...string) *bed {
	file, err := os.Create(recordPath)
	if err != nil {
		cannotRun("create record: %v", err)
	}
	// A crash of this program shows in the record too.
	if err := debug.SetCrashOutput(file, debug.CrashOptions{}); err != nil {
		cannotRun("set crash output: %v", err)
	}
	temp, err := os.MkdirTemp("", "review-*")
	if err != nil {
		cannotRun("make temporary folder: %v", err)
	}
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	b := &bed{zones: zones, temp: temp, store: objects.Start(listener), storeAt: listener.Addr().String(), started: time.Now(), file: file}
	current = b
	return b
}

// record writes a line to the record, with the time since the start.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.file, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// seeds returns the addresses of up to three edge machines, as a list of the settings.
func (b *bed) seeds() string {
	var list []string
	for _, m := range b.machines {
		if m.role == "edge" && len(list) < 3 {
			list = append(list, fmt.Sprintf("%q", m.peers))
		}
	}
	return strings.Join(list, ", ")
}

// addEdge adds an edge machine that is not started yet.
func (b *bed) addEdge(zone string) *machine {
	m := &machine{
		bed: b, role: "edge", name: fmt.Sprintf("edge-%s-%d", zone, len(b.machines)), zone: zone,
		callers: freeAddress(), readiness: freeAddress(), peers: freeAddress(), store: b.storeAt,
	}
	b.machines = append(b.machines, m)
	return m
}

// addStorage adds a storage machine that is not started yet; first is set if the whole
// system starts for the first time.
func (b *bed) addStorage(zone string, first bool) *machine {
	name := fmt.Sprintf("storage-%s-%d", zone, len(b.machines))
	m := &machine{bed: b, role: "storage", name: name, zone: zone, peers: freeAddress(), store: b.storeAt, folder: filepath.Join(b.temp, name), first: first}
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		cannotRun("make disk of %s: %v", name, err)
	}
	b.machines = append(b.machines, m)
	return m
}

// startAll starts the machines and waits until the edge machines are ready.
func (b *bed) startAll() {
	for _, m := range b.machines {
		m.start()
	}
	for _, m := range b.machines {
		if m.role == "edge" {
			b.awaitReady(m)
		}
	}
}

func (b *bed) awaitReady(m *machine) {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(100 * time.Millisecond) {
		if isReady(m) {
			b.record("%s is ready", m.name)
			return
		}
		if time.Now().After(end) {
			cannotRun("%s is not ready after %v", m.name, readyTimeout)
		}
	}
}

func isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	r, err := client.Get("http://" + m.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stop ends all processes and stand-ins.
func (b *bed) stop() {
	for _, m := range b.machines {
		m.stop()
	}
	for _, w := range b.workers {
		w.listener.Close()
	}
	b.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.temp)
	} else {
		fmt.Println("kept", b.temp)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.file.Close()
}

// setStoreDown sets whether the platform's store answers 503 to every call.
func (b *bed) setStoreDown(down bool) {
	b.store.SetDown(down)
	b.record("platform's store down: %t", down)
}

// config puts a configuration, a text with fields of the pages, into the store.
func (b *bed) config(text string) {
	b.store.Put("config", "main", rawJSON(text))
	b.record("configuration accepted: %s", strings.Join(strings.Fields(text), " "))
}

// rawJSON is a JSON text.
type rawJSON string

// MarshalJSON returns the text.
func (t rawJSON) MarshalJSON() ([]byte, error) { return []byte(t), nil }
