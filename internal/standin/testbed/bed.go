package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/standin/engine"
	"hawthornrail.example/hawthornrail/internal/standin/platform"
	"hawthornrail.example/hawthornrail/internal/standin/service"
)

const (
	// Model is the model that every engine of a testbed serves.
	Model = "counter"
	// Service is the service that every service endpoint of a testbed serves.
	Service = "orders"
	// Deployment is the deployment that a testbed starts with.
	Deployment = "counter"
	// Team is the team of that deployment.
	Team = "cordillera"

	fleetSecret  = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	defaultSlots = 64
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Options are the size and the settings of a testbed.
type Options struct {
	DataCentres int
	VMs         int
	Engines     int
	EngineSlots int
	EngineDelay time.Duration
	Services    int
	ServiceTime time.Duration
	Settings    string
	Seeds       bool
}

// Bed is a running fleet. The platform, the engines and the services run in
// the test's process; each entry VM is a separate process.
type Bed struct {
	t                 testing.TB
	folder            string
	options           Options
	binary            string
	store             *platform.Store
	Platform          *platform.Server
	Engines           map[string]*engine.Engine
	Services          map[string]*service.Server
	VMs               []*VM
	Key               string
	platformAddress   string
	relays            map[string]*Relay
	endpointAddresses map[string]string
}

// New starts a testbed and waits until every VM serves the first configuration.
// The testbed is stopped when the test ends.
func New(t testing.TB, options Options) *Bed {
	t.Helper()
	b := &Bed{
		t: t, folder: t.TempDir(), options: options, binary: buildBinary(t),
		store: platform.NewStore(), Engines: make(map[string]*engine.Engine),
		Services: make(map[string]*service.Server), relays: make(map[string]*Relay), endpointAddresses: make(map[string]string),
	}
	b.Platform = platform.NewServer(b.store)
	b.platformAddress = b.serve(b.Platform.Handler())
	for dc := range options.DataCentres {
		b.addEndpoints(fmt.Sprintf("dc%d", dc+1))
		b.addVMs(fmt.Sprintf("dc%d", dc+1))
	}
	b.Apply(Deployment, DefaultDeployment())
	b.Key = b.IssueKey(Deployment)
	for _, v := range b.VMs {
		b.addRoutes(v)
		v.Start()
	}
	for _, v := range b.VMs {
		v.WaitReady()
	}
	return b
}

// DefaultDeployment returns a deployment with high limits.
func DefaultDeployment() objects.Deployment {
	return objects.Deployment{
		Team: Team, RatePerSecond: 100000, Burst: 100000,
		Models: []string{Model}, Services: []string{Service},
		Budget: objects.Budget{Calls: 1000, Tokens: 10_000_000, WallTimeMS: 600_000, Depth: 3, Children: 100},
	}
}

var (
	buildOnce sync.Once
	buildPath string
	errBuild  error
)

// buildBinary builds the hawthornrail command once per test process.
func buildBinary(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		folder, err := os.MkdirTemp("", "hawthornrail-testbed-")
		if err != nil {
			errBuild = err
			return
		}
		buildPath = filepath.Join(folder, "hawthornrail")
		command := exec.Command("go", "build", "-o", buildPath, "hawthornrail.example/hawthornrail/cmd/hawthornrail")
		if out, err := command.CombinedOutput(); err != nil {
			errBuild = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	if errBuild != nil {
		t.Fatal(errBuild)
	}
	return buildPath
}

// Cleanup removes the binary; a TestMain may call it after its tests.
func Cleanup() {
	if buildPath != "" {
		_ = os.RemoveAll(filepath.Dir(buildPath))
	}
}

func (b *Bed) serve(handler fasthttp.RequestHandler) string {
	b.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler, MaxRequestBodySize: 64 << 20, DisablePreParseMultipartForm: true}
	go func() { _ = server.Serve(listener) }()
	b.t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func (b *Bed) addEndpoints(dc string) {
	slots := max(b.options.EngineSlots, defaultSlots)
	for i := range b.options.Engines {
		name := fmt.Sprintf("engine-%s-%d", dc, i+1)
		e := engine.New(engine.Params{
			Slots: slots, PrefillPerSecond: 1e6, DecodeInterval: b.options.EngineDelay,
			CacheTokens: 1_000_000, CompletionTokens: 8,
		})
		address := b.serve(engine.NewServer(e).Handler())
		b.Engines[name] = e
		b.endpointAddresses[name] = address
		b.Put(objects.KindEndpoint, name, objects.Endpoint{
			Kind: "engine", DataCentre: dc, Address: address, Serves: []string{Model}, Slots: slots,
		})
	}
	for i := range b.options.Services {
		name := fmt.Sprintf("service-%s-%d", dc, i+1)
		s := service.NewServer(b.options.ServiceTime)
		b.Services[name] = s
		address := b.serve(s.Handler())
		b.endpointAddresses[name] = address
		b.Put(objects.KindEndpoint, name, objects.Endpoint{
			Kind: "service", DataCentre: dc, Address: address, Serves: []string{Service},
		})
	}
}

func (b *Bed) addVMs(dc string) {
	for i := range b.options.VMs {
		v := newVM(b, fmt.Sprintf("%s-vm%d", dc, i+1), dc)
		b.VMs = append(b.VMs, v)
		b.Put(objects.KindVM, v.Name, objects.VM{DataCentre: dc, Address: v.Peer})
	}
}

// addRoutes starts a relay from v to each target of its connections: the
// platform, the endpoints and the other VMs.
func (b *Bed) addRoutes(v *VM) {
	v.routes[b.platformAddress] = b.startRelay(v.Name, "platform", b.platformAddress)
	for name, address := range b.endpointAddresses {
		v.routes[address] = b.startRelay(v.Name, name, address)
	}
	for _, other := range b.VMs {
		if other != v {
			v.routes[other.Peer] = b.startRelay(v.Name, other.Name, other.Peer)
		}
	}
}

func (b *Bed) startRelay(from, to, target string) string {
	r, err := NewRelay(target)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(r.Close)
	b.relays[from+">"+to] = r
	return r.Address()
}

// Links returns the names of the links that can be partitioned, as "from>to".
func (b *Bed) Links() []string { return slices.Sorted(maps.Keys(b.relays)) }

// Cut partitions the link from a VM to another VM, an endpoint or "platform":
// the connections that from has opened or opens later stay open but transfer
// nothing in either direction.
func (b *Bed) Cut(from, to string) { b.relays[from+">"+to].SetPartitioned(true) }

// Heal undoes Cut.
func (b *Bed) Heal(from, to string) { b.relays[from+">"+to].SetPartitioned(false) }

// CutBoth partitions the links between two parties, whichever of them opened
// the connections.
func (b *Bed) CutBoth(x, y string) {
	b.eachLinkBetween(x, y, func(r *Relay) { r.SetPartitioned(true) })
}

// HealBoth undoes CutBoth.
func (b *Bed) HealBoth(x, y string) {
	b.eachLinkBetween(x, y, func(r *Relay) { r.SetPartitioned(false) })
}

func (b *Bed) eachLinkBetween(x, y string, f func(*Relay)) {
	for _, name := range []string{x + ">" + y, y + ">" + x} {
		if r, ok := b.relays[name]; ok {
			f(r)
		}
	}
}

// Isolate partitions a data centre's VMs from the platform and from the VMs of
// the other data centres.
func (b *Bed) Isolate(dc string) {
	b.eachBoundaryLink(dc, b.CutBoth)
}

// Rejoin undoes Isolate.
func (b *Bed) Rejoin(dc string) {
	b.eachBoundaryLink(dc, b.HealBoth)
}

func (b *Bed) eachBoundaryLink(dc string, f func(x, y string)) {
	for _, v := range b.VMs {
		if v.DataCentre != dc {
			continue
		}
		f(v.Name, "platform")
		for _, other := range b.VMs {
			if other.DataCentre != dc {
				f(v.Name, other.Name)
			}
		}
	}
}

// Put stores an object, whatever its current version is.
func (b *Bed) Put(kind, name string, value any) uint64 {
	b.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		b.t.Fatal(err)
	}
	current, _ := b.store.Get(kind, name)
	o, err := b.store.Put(kind, name, current.Version, data)
	if err != nil {
		b.t.Fatal(err)
	}
	return o.Version
}

// Apply stores a deployment.
func (b *Bed) Apply(name string, d objects.Deployment) uint64 {
	b.t.Helper()
	return b.Put(objects.KindDeployment, name, d)
}

// EngineAddress returns the address of an engine.
func (b *Bed) EngineAddress(name string) string { return b.endpointAddresses[name] }

// CPU returns the user and system time of all VM processes.
func (b *Bed) CPU() time.Duration {
	b.t.Helper()
	total := time.Duration(0)
	for _, v := range b.VMs {
		total += v.cpu()
	}
	return total
}

// Store returns the platform's object store.
func (b *Bed) Store() *platform.Store { return b.store }

// PlatformAddress returns the platform's own address, which bypasses the relays.
func (b *Bed) PlatformAddress() string { return b.platformAddress }

// VM returns a VM by name.
func (b *Bed) VM(name string) *VM {
	b.t.Helper()
	i := slices.IndexFunc(b.VMs, func(v *VM) bool { return v.Name == name })
	if i < 0 {
		b.t.Fatalf("no VM %s", name)
	}
	return b.VMs[i]
}

// Eventually polls until the condition holds and fails the test after the
// timeout.
func (b *Bed) Eventually(timeout time.Duration, description string, condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			b.t.Fatalf("not within %s: %s", timeout, description)
		}
		time.Sleep(pollInterval)
	}
}

var (
	portsMu sync.Mutex
	ports   = make(map[string]bool)
)

// freePort returns a loopback address that it has not returned before in this
// process. The host is derived from the process id, so neither another test
// process nor an outgoing connection can take the port before a VM listens on
// it.
func freePort(t testing.TB) string {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
	for {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !ports[address] {
			ports[address] = true
			return address
		}
	}
}

func readStatus(address string) (api.Status, error) {
	var s api.Status
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/v1/status", time.Second)
	if err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	if status != http.StatusOK {
		return s, fmt.Errorf("status %d", status)
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(&s); err != nil {
		return s, fmt.Errorf("status: %w", err)
	}
	return s, nil
}

// Executions returns the number of executions per request id, summed over all
// services.
func (b *Bed) Executions() map[string]int {
	counts := make(map[string]int)
	for _, s := range b.Services {
		for id, n := range s.Executions() {
			counts[id] += n
		}
	}
	return counts
}

func quoteTOML(s string) string { return "\"" + strings.ReplaceAll(s, "\"", "\\\"") + "\"" }
