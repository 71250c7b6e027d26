//go:build review

package main

import (
	"bufio"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hawthornrail.example/hawthornrail/internal/standin/objects"
)

const (
	program = "target/hawthornrail"
	host    = "a.example"
	apiKey  = "k1"
	// firstPort and ports are the range of the ports that processes listen on, outside the
	// range of outgoing connections.
	firstPort = 20_000
	ports     = 12_000
	// memoryMB is the memory of a machine.
	memoryMB = 144
	// startTimeout bounds the start of all processes.
	startTimeout = 30 * time.Second
)

//go:embed names.txt
var namesText string

// names are the names of the platform's header fields and configuration.
var names = parseNames()

func parseNames() map[string]string {
	m := make(map[string]string)
	for line := range strings.Lines(namesText) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		m[key] = value
	}
	return m
}

// cannotRun is an error that says nothing of the rule.
type cannotRun struct{ error }

func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// printf writes a line to the record.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// end writes the result of the case to the record and to the standard output.
func (r *record) end(result string) {
	r.printf("%s", result)
	fmt.Println(result)
}

// process is an edge or storage process.
type process struct {
	name, role, settings string
	// folder is the folder on the disk, and firstStart the line that says whether the
	// deployment starts for the first time.
	folder  string
	command *exec.Cmd
	done    chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *record
	folder string
	store  *objects.Store
	zones  []string
	// storage has one process a zone, and edges those that take requests.
	storage []*process
	edges   []*process
	callers []string
	ready   []string

	mu      sync.Mutex
	running []*process
	closers []func()
	lastID  int
	closed  bool
	keepers []*keeper
	// quietSends leaves out the requests of send in the record.
	quietSends bool
}

// options are what differs between deployments.
type options struct {
	config map[string]any
	// disks is how many disks may be lost at once, and edges the zone of each edge process.
	disks int
	edges []int
	// configMS is the bound config_ms of the deployment.
	configMS int
}

var takenPorts = make(map[int]bool)

func freeAddress() string {
	for {
		port := firstPort + rand.IntN(ports)
		if takenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		takenPorts[port] = true
		return l.Addr().String()
	}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", freeAddress())
	check(err)
	return l
}

// newFleet starts the store and returns a deployment whose processes do not run yet.
func newFleet(r *record, o options) *fleet {
	folder, err := os.MkdirTemp("", "hawthornrail-review-")
	check(err)
	f := &fleet{record: r, folder: folder, zones: []string{"zone-a", "zone-b", "zone-c"}}
	l := listen()
	f.store = objects.Start(l)
	f.store.Put("config", "main", o.config)
	var quoted []string
	for _, z := range f.zones {
		quoted = append(quoted, fmt.Sprintf("%q", z))
	}
	var storagePeers, edgePeers []string
	for range f.zones {
		storagePeers = append(storagePeers, freeAddress())
	}
	for range o.edges {
		edgePeers = append(edgePeers, freeAddress())
	}
	seeds := fmt.Sprintf("[peer]\nseeds = [%q]\n", edgePeers[0])
	tail := fmt.Sprintf("%s[store]\naddress = %q\n[config]\nin_force_ms = %d\n[fault_tolerance]\ndisks = %d\n[limits]\nmemory_mb = %d\n[shutdown]\ngrace_ms = 8000\n", seeds, l.Addr(), o.configMS, o.disks, memoryMB)
	head := func(name string, zone int) string {
		return fmt.Sprintf("[vm]\nname = %q\ndata_centre = %q\ndata_centres = [%s]\n", name, f.zones[zone], strings.Join(quoted, ","))
	}
	for z := range f.zones {
		p := &process{name: "storage-" + f.zones[z], role: "storage", folder: filepath.Join(folder, "disk-"+f.zones[z])}
		p.settings = head(p.name, z) + fmt.Sprintf("[listen]\npeers = %q\n", storagePeers[z]) + tail
		f.storage = append(f.storage, p)
	}
	for n, z := range o.edges {
		caller, ready := freeAddress(), freeAddress()
		p := &process{name: fmt.Sprintf("edge-%d-%s", n, f.zones[z]), role: "edge"}
		p.settings = head(p.name, z) + fmt.Sprintf("[listen]\ncallers = %q\nreadiness = %q\npeers = %q\n", caller, ready, edgePeers[n]) + tail
		f.edges = append(f.edges, p)
		f.callers, f.ready = append(f.callers, caller), append(f.ready, ready)
	}
	return f
}

// start starts a process. firstStart is set when the whole deployment starts for the first
// time.
func (f *fleet) start(p *process, firstStart bool) {
	text := p.settings
	if p.role == "storage" {
		check(os.MkdirAll(p.folder, 0o755))
		text += fmt.Sprintf("[disk]\nfolder = %q\nfirst_start = %t\n", p.folder, firstStart)
	} else {
		text += fmt.Sprintf("[disk]\nfirst_start = %t\n", firstStart)
	}
	path := filepath.Join(f.folder, p.name+".toml")
	check(os.WriteFile(path, []byte(text), 0o644))
	log, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["node_file"] + "=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	check(p.command.Start())
	p.done = make(chan struct{})
	command, done := p.command, p.done
	f.running = append(f.running, p)
	f.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	f.record.printf("start %s", p.name)
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.record.printf("signal %v to %s", s, p.name)
	check(p.command.Process.Signal(s))
}

// kill ends a process and waits until it has ended.
func (f *fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL)
	<-p.done
}

// startAll starts all processes and waits until the edges are ready.
func (f *fleet) startAll() {
	for _, p := range f.storage {
		f.start(p, true)
	}
	for _, p := range f.edges {
		f.start(p, true)
	}
	for n := range f.edges {
		f.awaitReady(n)
	}
}

// awaitReady waits until an edge is ready.
func (f *fleet) awaitReady(edge int) {
	f.await("edge is ready", func() bool {
		response, err := http.Get("http://" + f.ready[edge] + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// await waits until a condition holds.
func (f *fleet) await(what string, condition func() bool) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	panic(cannotRun{fmt.Errorf("%s: not in time", what)})
}

// isClosed reports whether the processes have been ended.
func (f *fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// close ends all processes and removes the folder; keepLogs keeps it.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.running {
		_ = p.command.Process.Kill()
		<-p.done
	}
	for _, c := range f.closers {
		c()
	}
	f.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(f.folder, keep)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// answer is what a requester got; err says that it is incomplete.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	err    error
}

func (a answer) whole() bool { return a.status == http.StatusOK && a.err == nil }

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d %d bytes, incomplete: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d %d bytes", a.status, len(a.body))
}

// nextID returns an id that no requester has sent yet.
func (f *fleet) nextID(prefix string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return fmt.Sprintf("%s-%d", prefix, f.lastID)
}

// send sends a request to an edge on a channel of its own and reads the answer to its end.
// headers are pairs of a name in names and a value.
func (f *fleet) send(edge int, path, id, body string, deadline time.Duration, headers ...string) answer {
	a := answer{id: id}
	r, err := http.NewRequest(http.MethodPost, "http://"+f.callers[edge]+path, strings.NewReader(body))
	check(err)
	r.Host, r.Close = host, true
	r.Header.Set(names["request_id"], id)
	r.Header.Set(names["deadline"], fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set(names["key"], apiKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(names[headers[i]], headers[i+1])
	}
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: deadline + time.Second}
	f.log("sent %s to %s, %v, body of %d bytes", id, path, headers, len(body))
	response, err := client.Do(r)
	if err != nil {
		a.err = err
	} else {
		var text []byte
		text, err = io.ReadAll(bufio.NewReader(response.Body))
		_ = response.Body.Close()
		a.status, a.body, a.header, a.err = response.StatusCode, string(text), response.Header, err
	}
	f.log("answered %s: %v", id, a)
	return a
}

// log records what send does.
func (f *fleet) log(format string, args ...any) {
	if !f.quietSends {
		f.record.printf(format, args...)
	}
}

// edgeOf returns the edge that takes a request.
func (f *fleet) edgeOf(id string) int { return int(id[len(id)-1]) % len(f.edges) }

var errBroken = errors.New("the rule is broken")
