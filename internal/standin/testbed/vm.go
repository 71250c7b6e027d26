package testbed

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hawthornrail.example/hawthornrail/internal/operator/api"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
)

const (
	// userTimeField is the index of utime in /proc/PID/stat after the name;
	// stime follows it.
	userTimeField = 11
	clockTick     = 10 * time.Millisecond
)

// VM is the process of one entry VM.
type VM struct {
	Name       string
	DataCentre string
	Caller     string
	Operator   string
	Peer       string

	bed     *Bed
	routes  map[string]string
	process *exec.Cmd
}

func newVM(b *Bed, name, dc string) *VM {
	return &VM{
		Name: name, DataCentre: dc, bed: b, routes: make(map[string]string),
		Caller: freePort(b.t), Operator: freePort(b.t), Peer: freePort(b.t),
	}
}

func (v *VM) settings() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[vm]\nname = %s\ndata_centre = %s\n", quoteTOML(v.Name), quoteTOML(v.DataCentre))
	fmt.Fprintf(&text, "[caller]\naddress = %s\nplain = true\n[operator]\naddress = %s\n", quoteTOML(v.Caller), quoteTOML(v.Operator))
	fmt.Fprintf(&text, "[peer]\naddress = %s\nsecret = %s\nplain = true\n", quoteTOML(v.Peer), quoteTOML(fleetSecret))
	if v.bed.options.Seeds {
		fmt.Fprintf(&text, "peers = [%s]\n", strings.Join(v.peerAddresses(), ", "))
	}
	fmt.Fprintf(&text, "[platform]\naddress = %s\n[log]\nlevel = \"debug\"\n", quoteTOML(v.bed.platformAddress))
	text.WriteString(v.bed.options.Settings)
	text.WriteString("\n[test.routes]\n")
	for address, route := range v.routes {
		fmt.Fprintf(&text, "%s = %s\n", quoteTOML(address), quoteTOML(route))
	}
	return text.String()
}

// peerAddresses returns the quoted addresses of the other VMs.
func (v *VM) peerAddresses() []string {
	var addresses []string
	for _, other := range v.bed.VMs {
		if other != v {
			addresses = append(addresses, quoteTOML(other.Peer))
		}
	}
	return addresses
}

// Start starts the process, which is killed when the test ends.
func (v *VM) Start() {
	v.bed.t.Helper()
	path := filepath.Join(v.bed.folder, v.Name+".toml")
	if err := os.WriteFile(path, []byte(v.settings()), 0o600); err != nil {
		v.bed.t.Fatal(err)
	}
	log, err := os.OpenFile(v.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.bed.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(v.bed.binary, "serve", "--settings", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		v.bed.t.Fatal(err)
	}
	v.process = process
	v.bed.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
}

// LogFile returns the path of the process's log.
func (v *VM) LogFile() string { return filepath.Join(v.bed.folder, v.Name+".log") }

// WaitReady waits until the VM has the latest configuration and can start
// programs.
func (v *VM) WaitReady() {
	v.bed.t.Helper()
	_, revision := v.bed.store.List("")
	deadline := time.Now().Add(readyTimeout)
	for {
		s, err := readStatus(v.Operator)
		if err == nil && s.ConfigRevision >= revision && s.Ready {
			return
		}
		if time.Now().After(deadline) {
			log, _ := os.ReadFile(v.LogFile())
			v.bed.t.Fatalf("VM %s is not ready within %s: %v, revision %d of %d; log:\n%s", v.Name, readyTimeout, err, s.ConfigRevision, revision, log)
		}
		time.Sleep(pollInterval)
	}
}

// Status returns the status that the VM reports to operators.
func (v *VM) Status() (api.Status, error) { return readStatus(v.Operator) }

// Kill stops the process with SIGKILL and waits for it to exit.
func (v *VM) Kill() {
	_ = v.process.Process.Kill()
	_ = v.process.Wait()
}

// Freeze suspends the process with SIGSTOP.
func (v *VM) Freeze() { v.signal(syscall.SIGSTOP) }

// Thaw resumes the process with SIGCONT after Freeze.
func (v *VM) Thaw() { v.signal(syscall.SIGCONT) }

// Terminate starts a graceful shutdown of the process with SIGTERM.
func (v *VM) Terminate() { v.signal(syscall.SIGTERM) }

// cpu returns the user and system time of the process, which the kernel reports
// in clock ticks.
func (v *VM) cpu() time.Duration {
	v.bed.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.process.Process.Pid))
	if err != nil {
		v.bed.t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	var ticks int64
	for _, field := range fields[userTimeField : userTimeField+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			v.bed.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// Wait waits for the process to exit and returns its error.
func (v *VM) Wait() error { return v.process.Wait() }

func (v *VM) signal(s os.Signal) {
	v.bed.t.Helper()
	if err := v.process.Process.Signal(s); err != nil {
		v.bed.t.Fatal(err)
	}
}

// IssueKey stores a new key of a deployment and returns it in the form
// that callers send.
func (b *Bed) IssueKey(deployment string) string {
	b.t.Helper()
	key, id, hash, err := keyring.Issue()
	if err != nil {
		b.t.Fatal(err)
	}
	b.Put(objects.KindKey, id, objects.Key{Hash: hash, Deployment: deployment})
	return key
}

// RevokeKey revokes a key that IssueKey returned.
func (b *Bed) RevokeKey(key string) {
	b.t.Helper()
	b.changeKey(key, func(k *objects.Key) { k.Revoked = true })
}

// MoveKey assigns a key that IssueKey returned to another deployment.
func (b *Bed) MoveKey(key, deployment string) {
	b.t.Helper()
	b.changeKey(key, func(k *objects.Key) { k.Deployment = deployment })
}

func (b *Bed) changeKey(key string, change func(*objects.Key)) {
	b.t.Helper()
	id := strings.Split(key, "_")[1]
	o, err := b.store.Get(objects.KindKey, id)
	if err != nil {
		b.t.Fatal(err)
	}
	var value objects.Key
	if err := (objects.Object{Value: o.Value}).Decode(&value); err != nil {
		b.t.Fatal(err)
	}
	change(&value)
	b.Put(objects.KindKey, id, value)
}
