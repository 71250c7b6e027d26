//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a machine of the deployment with its process.
type machine struct {
	bed       *bed
	role      string
	name      string
	zone      string
	callers   string
	readiness string
	peers     string
	store     string
	folder    string
	first     bool
	command   *exec.Cmd
	ended     chan struct{}
}

// loopback is the loopback address of this run, so that runs at the same time don't take each
// other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// given are the addresses that freeAddress has returned.
var given = make(map[string]bool)

// freeAddress returns a loopback address with a free port, each time another one.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			cannotRun("no free port: %v", err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
}

// settings returns the settings file, as the template of the deploy file gives it.
func (m *machine) settings() string {
	var b strings.Builder
	zones := fmt.Sprintf("%q", m.bed.zones)
	zones = strings.ReplaceAll(zones, " ", ", ")
	fmt.Fprintf(&b, "[vm]\nname = %q\ndata_centre = %q\ndata_centres = %s\n\n[listen]\n", m.name, m.zone, zones)
	if m.role == "edge" {
		fmt.Fprintf(&b, "callers = %q\nreadiness = %q\n", m.callers, m.readiness)
	}
	fmt.Fprintf(&b, "peers = %q\n\n[peer]\nseeds = [%s]\n\n[store]\naddress = %q\nwrites_per_s = 400\n\n[disk]\n", m.peers, m.bed.seeds(), m.store)
	if m.folder != "" {
		fmt.Fprintf(&b, "folder = %q\nsize_mb = 260\n", m.folder)
	}
	fmt.Fprintf(&b, "first_start = %t\n\n[config]\nin_force_ms = 2000\n\n[fault_tolerance]\ndisks = 1\ncatch_up_s = 4\n\n", m.first)
	memory, link := 134, 1000.0
	if m.role == "storage" {
		memory, link = 144, 600.0
	}
	fmt.Fprintf(&b, "[limits]\nmemory_mb = %d\nlink_mbps = %.1f\n\n[shutdown]\ngrace_ms = 8000\n", memory, link)
	return b.String()
}

// start starts the process with the command of the deploy file.
func (m *machine) start() {
	path := filepath.Join(m.bed.temp, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o644); err != nil {
		cannotRun("write settings: %v", err)
	}
	logFile, err := os.OpenFile(filepath.Join(m.bed.temp, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("open log: %v", err)
	}
	m.command = exec.Command(program, m.role)
	m.command.Env = append(os.Environ(), names["settings_variable"]+"="+path)
	m.command.Stdout, m.command.Stderr = logFile, logFile
	if err := m.command.Start(); err != nil {
		cannotRun("start %s: %v", m.name, err)
	}
	ended := make(chan struct{})
	m.ended = ended
	command := m.command
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	m.bed.record("started %s, process %d", m.name, m.command.Process.Pid)
}

func (m *machine) signal(s syscall.Signal) {
	m.bed.record("signal %v to %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// kill ends the process at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// loseDisk removes what the machine has on its disk.
func (m *machine) loseDisk() {
	m.bed.record("%s loses its disk", m.name)
	if err := os.RemoveAll(m.folder); err != nil {
		cannotRun("remove disk of %s: %v", m.name, err)
	}
	if err := os.MkdirAll(m.folder, 0o755); err != nil {
		cannotRun("make disk of %s: %v", m.name, err)
	}
}

// stop ends the process if it runs.
func (m *machine) stop() {
	if m.command == nil {
		return
	}
	select {
	case <-m.ended:
		return
	default:
	}
	_ = m.command.Process.Signal(syscall.SIGCONT)
	_ = m.command.Process.Kill()
	select {
	case <-m.ended:
	case <-time.After(5 * time.Second):
	}
}
