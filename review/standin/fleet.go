//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"hawthornrail.example/hawthornrail/internal/standin/objects"
)

const (
	deployFile = "deploy/system.toml"
	// firstPort and ports are the range of the ports that processes listen on; it
	// lies below those of outgoing channels.
	firstPort = 20_000
	ports     = 12_000

	startTimeout = 25 * time.Second
	pollInterval = 20 * time.Millisecond
)

var errTimeout = errors.New("timed out")

// machine is one process of the project with its settings.
type machine struct {
	name    string
	zone    string
	storage bool

	callers, readiness, peers, metrics string

	command  *exec.Cmd
	log      *os.File
	ended    chan struct{}
	settings string
	folder   string
}

// fleet is a deployment on loopback.
type fleet struct {
	names   names
	record  *record
	folder  string
	zones   []string
	run     map[string][]string
	store   *objects.Store
	address string

	machines []*machine
	memoryMB int
	// gates are the proxies in front of the store of the machines of some zones.
	gates map[string]*gate
}

func newFleet(n names, r *record, zones []string) (*fleet, error) {
	run, err := readCommands()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &fleet{
		names: n, record: r, folder: folder, zones: zones, run: run,
		store: objects.Start(l), address: l.Addr().String(), memoryMB: 134,
	}, nil
}

// readCommands returns the command of each class of machines in the deploy file.
func readCommands() (map[string][]string, error) {
	var file struct {
		Roles map[string]struct {
			Run string `toml:"run"`
			On  string `toml:"on"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile(deployFile, &file); err != nil {
		return nil, err
	}
	commands := make(map[string][]string)
	for _, role := range file.Roles {
		commands[role.On] = strings.Fields(role.Run)
	}
	return commands, nil
}

// add adds a machine, which is not started yet.
func (f *fleet) add(name, zone string, storage bool) (*machine, error) {
	m := &machine{name: name, zone: zone, storage: storage}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	m.callers, m.readiness, m.peers, m.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	m.settings, m.folder = filepath.Join(f.folder, name+".toml"), filepath.Join(f.folder, name)
	f.machines = append(f.machines, m)
	return m, nil
}

func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		// The port stays in use until all are chosen.
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// start starts a machine's process with the command of the deploy file.
func (f *fleet) start(m *machine, first bool) error {
	if err := os.WriteFile(m.settings, []byte(f.settingsOf(m, first)), 0o600); err != nil {
		return err
	}
	class := "edge"
	if m.storage {
		class = "storage"
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log, m.ended = log, make(chan struct{})
	m.command = exec.Command(f.run[class][0], f.run[class][1:]...)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, f.names.SettingsVariable + "=" + m.settings}
	m.command.Stdout, m.command.Stderr = log, log
	// If this process is ended, those that it started end too.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	f.record.add("started %s as process %d", m.name, m.command.Process.Pid)
	go func(command *exec.Cmd, ended chan struct{}) {
		// A process that was killed returns an error.
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(m.command, m.ended)
	return nil
}

// settingsOf returns what the settings template of the deploy file renders to.
func (f *fleet) settingsOf(m *machine, first bool) string {
	var s strings.Builder
	quoted := make([]string, len(f.zones))
	for i, z := range f.zones {
		quoted[i] = fmt.Sprintf("%q", z)
	}
	_, _ = fmt.Fprintf(&s, "[vm]\nname = %q\ndata_centre = %q\ndata_centres = [%s]\n[listen]\n", m.name, m.zone, strings.Join(quoted, ","))
	if !m.storage {
		_, _ = fmt.Fprintf(&s, "callers = %q\nreadiness = %q\n", m.callers, m.readiness)
	}
	_, _ = fmt.Fprintf(&s, "peers = %q\nmetrics = %q\n[peer]\nseeds = [%s]\n[store]\naddress = %q\n[disk]\n", m.peers, m.metrics, f.seeds(), f.storeOf(m))
	if m.storage {
		_, _ = fmt.Fprintf(&s, "folder = %q\n", m.folder)
	}
	_, _ = fmt.Fprintf(&s, "first_start = %t\n[config]\nin_force_ms = 2000\n[limits]\nmemory_mb = %d\n[shutdown]\ngrace_ms = 8000\n", first, f.memoryMB)
	return s.String()
}

// storeOf returns the address at which a machine finds the store.
func (f *fleet) storeOf(m *machine) string {
	if g, ok := f.gates[m.zone]; ok {
		return g.address()
	}
	return f.address
}

// seeds returns the addresses of the first edge machines.
func (f *fleet) seeds() string {
	var seeds []string
	for _, m := range f.machines {
		if !m.storage && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", m.peers))
		}
	}
	return strings.Join(seeds, ",")
}

// signal sends a signal to a machine's process.
func (f *fleet) signal(m *machine, s syscall.Signal) error {
	f.record.add("signal %v to %s", s, m.name)
	return m.command.Process.Signal(s)
}

// signalAll sends a signal to the processes of several machines.
func (f *fleet) signalAll(machines []*machine, s syscall.Signal) error {
	for _, m := range machines {
		if err := f.signal(m, s); err != nil {
			return err
		}
	}
	return nil
}

// kill kills a machine's process and waits until it has ended.
func (f *fleet) kill(m *machine) error {
	if err := f.signal(m, syscall.SIGKILL); err != nil {
		return err
	}
	<-m.ended
	return nil
}

// awaitReady waits until all edge machines are ready.
func (f *fleet) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for _, m := range f.machines {
		if m.storage || m.command == nil {
			continue
		}
		err := eventually(startTimeout, func() bool {
			r, err := client.Get("http://" + m.readiness + "/readyz")
			if err != nil {
				return false
			}
			_ = r.Body.Close()
			return r.StatusCode == http.StatusOK
		})
		if err != nil {
			return fmt.Errorf("%s is not ready: %w", m.name, err)
		}
	}
	return nil
}

// awaitLog waits until a machine has logged an event after a number of bytes.
func (f *fleet) awaitLog(m *machine, event string, after int, timeout time.Duration) error {
	err := eventually(timeout, func() bool { return strings.Contains(f.logOf(m)[after:], event) })
	if err != nil {
		return fmt.Errorf("%s has not logged %s: %w", m.name, event, err)
	}
	return nil
}

func (f *fleet) logOf(m *machine) string {
	// Without a log there is no event yet.
	text, _ := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
	return string(text)
}

// end ends all processes that this case started and removes its folder.
func (f *fleet) end() {
	for _, m := range f.machines {
		if m.command == nil {
			continue
		}
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		<-m.ended
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
		return
	}
	fmt.Println("logs:", f.folder)
}

// eventually polls a condition until it holds.
func eventually(timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return errTimeout
}
