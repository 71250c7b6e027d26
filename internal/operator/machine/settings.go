package machine

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20

	defaultMaxResponseHeaderBytes = 64 << 10
	defaultMaxResponseBodyBytes   = 4 << 20
	defaultMaxEventBytes          = 256 << 10
	defaultMaxChainBytes          = 16 << 20
	// responseShare is the fraction of the memory limit that responses in flight may
	// hold.
	responseShare = 8
	// requestShare is the fraction of the memory limit that requests in flight may hold.
	requestShare = 4
	// connectionsPerMB is the default of the open connections of callers for each MB of the
	// memory limit: an idle one holds 8 KB at most.
	connectionsPerMB = 16
	defaultGrace     = 8 * time.Second
	defaultSample    = 100
	defaultMemoryMB  = 128
	defaultInForce   = 2 * time.Second
	// chainBytesBound leaves room for a chain in a message between VMs.
	chainBytesBound = 32 << 20
	// backgroundShare is the fraction of the memory limit, as a divisor, that turns may hold
	// which are stored after the end of their responses.
	backgroundShare = 32
	// defaultWritesPerSecond is what the platform's store takes from a small deployment.
	defaultWritesPerSecond = 400
	// defaultCatchUp is the time in which a VM that lost its disk should have its copies again.
	defaultCatchUp = 4 * time.Second
	// defaultLinkMbitPerSecond is the link of a VM with a disk.
	defaultLinkMbitPerSecond = 600
	// defaultToleratedDisks is the number of disks that may be lost at once.
	defaultToleratedDisks = 1
	// defaultConversationsMB is the size of the stored conversations if the size of the disk
	// is unknown.
	defaultConversationsMB = 128
	// otherDiskMB is what the journal of accounts needs of a disk while it is compacted, with
	// a reserve.
	otherDiskMB = 132
	// minConversationsMB is the size of the stored conversations on a disk without room for
	// more.
	minConversationsMB = 32
	// requestLineBytes is the size that is allowed for a request line in addition
	// to the header fields.
	requestLineBytes = 4 << 10
)

// file is the TOML form of the settings.
type file struct {
	VM     vmSection     `toml:"vm"`
	Listen listenSection `toml:"listen"`
	Peer   peerSection   `toml:"peer"`
	Store  storeSection  `toml:"store"`
	Disk   diskSection   `toml:"disk"`
	Limits limitsSection `toml:"limits"`
	Config configSection `toml:"config"`

	Evacuations    evacuationsSection    `toml:"evacuations"`
	FaultTolerance faultToleranceSection `toml:"fault_tolerance"`

	Log      logSection      `toml:"log"`
	Shutdown shutdownSection `toml:"shutdown"`
}

type vmSection struct {
	Name        string   `toml:"name"`
	DataCentre  string   `toml:"data_centre"`
	DataCentres []string `toml:"data_centres"`
}

type listenSection struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Peers     string `toml:"peers"`
	Metrics   string `toml:"metrics"`
}

type peerSection struct {
	Seeds []string `toml:"seeds"`
}

type storeSection struct {
	Address string `toml:"address"`

	WritesPerSecond float64 `toml:"writes_per_s"`
}

type diskSection struct {
	Folder     string `toml:"folder"`
	FirstStart bool   `toml:"first_start"`

	SizeMB          int `toml:"size_mb"`
	ConversationsMB int `toml:"conversations_mb"`
}

type limitsSection struct {
	MaxHeaderBytes int `toml:"max_header_bytes"`
	MaxBodyBytes   int `toml:"max_body_bytes"`
	MemoryMB       int `toml:"memory_mb"`

	MaxResponseHeaderBytes int `toml:"max_response_header_bytes"`
	MaxResponseBodyBytes   int `toml:"max_response_body_bytes"`
	MaxEventBytes          int `toml:"max_event_bytes"`
	MaxChainBytes          int `toml:"max_chain_bytes"`

	MaxConnections int `toml:"max_connections"`

	LinkMbitPerSecond float64 `toml:"link_mbps"`
}

type configSection struct {
	InForceMS float64 `toml:"in_force_ms"`
}

// evacuationsSection has no default: without it evacuations are not watched.
type evacuationsSection struct {
	InForceMS float64 `toml:"in_force_ms"`
}

type faultToleranceSection struct {
	Disks int `toml:"disks"`

	CatchUpSeconds float64 `toml:"catch_up_s"`
}

type logSection struct {
	Sample int `toml:"sample"`
}

type shutdownSection struct {
	GraceMS int `toml:"grace_ms"`
}

// Settings holds the validated settings of a process.
type Settings struct {
	path string
	file file
}

// Load reads and validates a settings file; the error lists all problems.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(string(text))
	s.path = path
	return s, err
}

// Reload reads the settings file again.
func (s Settings) Reload() (Settings, error) { return Load(s.path) }

// Parse parses and validates the text of a settings file; the error lists all
// problems.
func Parse(text string) (Settings, error) {
	f := file{
		Limits: limitsSection{
			MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes, MemoryMB: defaultMemoryMB,
			MaxResponseHeaderBytes: defaultMaxResponseHeaderBytes, MaxChainBytes: defaultMaxChainBytes, LinkMbitPerSecond: defaultLinkMbitPerSecond,
		},
		Store:          storeSection{WritesPerSecond: defaultWritesPerSecond},
		FaultTolerance: faultToleranceSection{Disks: defaultToleratedDisks, CatchUpSeconds: defaultCatchUp.Seconds()},
		Config:         configSection{InForceMS: float64(defaultInForce.Milliseconds())},
		Log:            logSection{Sample: defaultSample},
		Shutdown:       shutdownSection{GraceMS: int(defaultGrace.Milliseconds())},
	}
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	f.Limits.setDefaults(meta)
	f.Disk.setDefaults(meta)
	problems := f.check()
	for _, key := range meta.Undecoded() {
		problems = append(problems, fmt.Errorf("%s: unknown key", key))
	}
	if len(problems) > 0 {
		return Settings{}, fmt.Errorf("settings: %w", errors.Join(problems...))
	}
	return Settings{file: f}, nil
}

func (f file) check() []error {
	var problems []error
	require := func(ok bool, key, want string) {
		if !ok {
			problems = append(problems, fmt.Errorf("%s: want %s", key, want))
		}
	}
	require(f.VM.Name != "", "vm.name", "a name")
	require(slices.Contains(f.VM.DataCentres, f.VM.DataCentre), "vm.data_centre", "one of vm.data_centres")
	require(address(f.Listen.Peers), "listen.peers", "IP:PORT")
	require(f.Listen.Callers == "" || address(f.Listen.Callers), "listen.callers", "IP:PORT")
	require(f.Listen.Readiness == "" || address(f.Listen.Readiness), "listen.readiness", "IP:PORT")
	require(f.Listen.Metrics == "" || address(f.Listen.Metrics), "listen.metrics", "IP:PORT")
	require(address(f.Store.Address), "store.address", "IP:PORT")
	require(f.Store.WritesPerSecond > 0, "store.writes_per_s", "a positive number")
	require(f.Limits.MaxHeaderBytes > 0, "limits.max_header_bytes", "a positive number")
	require(f.Limits.MaxBodyBytes > 0, "limits.max_body_bytes", "a positive number")
	require(f.Limits.MaxResponseHeaderBytes > 0, "limits.max_response_header_bytes", "a positive number")
	require(f.Limits.MemoryMB > 0, "limits.memory_mb", "a positive number")
	share := f.Limits.responseBytes()
	require(f.Limits.MaxResponseBodyBytes > 0 && f.Limits.MaxResponseBodyBytes <= share, "limits.max_response_body_bytes", "a positive number, an eighth of limits.memory_mb at most")
	require(f.Limits.MaxEventBytes > 0 && f.Limits.MaxEventBytes <= share, "limits.max_event_bytes", "a positive number, an eighth of limits.memory_mb at most")
	require(f.Limits.MaxChainBytes > 0 && f.Limits.MaxChainBytes <= chainBytesBound, "limits.max_chain_bytes", "a positive number, 32 MiB at most")
	require(f.Disk.SizeMB >= 0, "disk.size_mb", "a number that is not negative")
	require(f.Disk.ConversationsMB > 0, "disk.conversations_mb", "a positive number")
	require(f.Limits.MaxConnections > 0, "limits.max_connections", "a positive number")
	require(f.Config.InForceMS > 0, "config.in_force_ms", "a positive number")
	require(f.Evacuations.InForceMS >= 0, "evacuations.in_force_ms", "a number that is not negative")
	require(f.FaultTolerance.Disks >= 0, "fault_tolerance.disks", "a number that is not negative")
	require(f.FaultTolerance.CatchUpSeconds > 0, "fault_tolerance.catch_up_s", "a positive number")
	require(f.Limits.LinkMbitPerSecond > 0, "limits.link_mbps", "a positive number")
	require(f.Log.Sample > 0, "log.sample", "a positive number")
	require(f.Shutdown.GraceMS > 0, "shutdown.grace_ms", "a positive number")
	for _, seed := range f.Peer.Seeds {
		require(address(seed), "peer.seeds", "a list of IP:PORT")
	}
	return problems
}

// setDefaults sets the limits whose defaults depend on the memory limit.
func (l *limitsSection) setDefaults(meta toml.MetaData) {
	if !meta.IsDefined("limits", "max_response_body_bytes") {
		l.MaxResponseBodyBytes = min(defaultMaxResponseBodyBytes, l.responseBytes())
	}
	if !meta.IsDefined("limits", "max_event_bytes") {
		l.MaxEventBytes = min(defaultMaxEventBytes, l.responseBytes())
	}
	if !meta.IsDefined("limits", "max_connections") {
		l.MaxConnections = connectionsPerMB * l.MemoryMB
	}
}

// setDefaults sets the size of the stored conversations, which depends on that of the disk.
func (d *diskSection) setDefaults(meta toml.MetaData) {
	switch {
	case meta.IsDefined("disk", "conversations_mb"):
	case d.SizeMB > 0:
		d.ConversationsMB = max(minConversationsMB, d.SizeMB-otherDiskMB)
	default:
		d.ConversationsMB = defaultConversationsMB
	}
}

// responseBytes returns how many bytes responses in flight may hold.
func (l limitsSection) responseBytes() int { return l.MemoryMB << 20 / responseShare }

func address(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// VM returns the name of the VM.
func (s Settings) VM() string { return s.file.VM.Name }

// DataCentre returns the data centre of the VM.
func (s Settings) DataCentre() string { return s.file.VM.DataCentre }

// DataCentres returns all data centres in order.
func (s Settings) DataCentres() []string { return slices.Sorted(slices.Values(s.file.VM.DataCentres)) }

// CallerAddress returns the IP address and port for callers.
func (s Settings) CallerAddress() string { return s.file.Listen.Callers }

// ReadinessAddress returns the IP address and port for the load balancer's
// readiness checks.
func (s Settings) ReadinessAddress() string { return s.file.Listen.Readiness }

// PeerAddress returns the IP address and port for other VMs.
func (s Settings) PeerAddress() string { return s.file.Listen.Peers }

// MetricsAddress returns the IP address and port for metrics, or an empty string.
func (s Settings) MetricsAddress() string { return s.file.Listen.Metrics }

// Seeds returns the peer addresses of the VMs that are contacted at the start.
func (s Settings) Seeds() []string { return s.file.Peer.Seeds }

// CatchUp returns the time in which a VM that lost its disk should have its copies again.
func (s Settings) CatchUp() time.Duration {
	return time.Duration(s.file.FaultTolerance.CatchUpSeconds * float64(time.Second))
}

// LinkBytesPerSecond returns how many bytes a second the link of the VM carries.
func (s Settings) LinkBytesPerSecond() int64 { return int64(s.file.Limits.LinkMbitPerSecond * 1e6 / 8) }

// StoreWritesPerSecond returns how many writes the platform's store takes a second from all
// VMs together.
func (s Settings) StoreWritesPerSecond() float64 { return s.file.Store.WritesPerSecond }

// StoreAddress returns the IP address and port of the platform's store.
func (s Settings) StoreAddress() string { return s.file.Store.Address }

// Folder returns the folder for data on disk, or an empty string.
func (s Settings) Folder() string { return s.file.Disk.Folder }

// FirstStart reports whether the whole fleet starts for the first time.
func (s Settings) FirstStart() bool { return s.file.Disk.FirstStart }

// ConversationBytes returns the maximum size of the stored conversations.
func (s Settings) ConversationBytes() int64 { return int64(s.file.Disk.ConversationsMB) << 20 }

// MaxHeaderBytes returns the maximum size of a request's line and header fields.
func (s Settings) MaxHeaderBytes() int { return s.file.Limits.MaxHeaderBytes + requestLineBytes }

// MaxResponseHeaderBytes returns the maximum size of a response's status line and
// header fields.
func (s Settings) MaxResponseHeaderBytes() int { return s.file.Limits.MaxResponseHeaderBytes }

// MaxResponseBodyBytes returns the maximum size of a response's body that is not a
// stream.
func (s Settings) MaxResponseBodyBytes() int { return s.file.Limits.MaxResponseBodyBytes }

// MaxEventBytes returns the maximum size of one event of a stream.
func (s Settings) MaxEventBytes() int { return s.file.Limits.MaxEventBytes }

// ResponseBytes returns how many bytes responses in flight may hold together.
func (s Settings) ResponseBytes() int64 { return int64(s.file.Limits.responseBytes()) }

// RequestBytes returns how many bytes requests in flight may hold together.
func (s Settings) RequestBytes() int64 { return s.MemoryBytes() / requestShare }

// MaxConnections returns the maximum number of open connections of callers.
func (s Settings) MaxConnections() int { return s.file.Limits.MaxConnections }

// MaxBodyBytes returns the maximum size of a request's body.
func (s Settings) MaxBodyBytes() int { return s.file.Limits.MaxBodyBytes }

// MaxChainBytes returns the maximum size of the chain of a conversation with the new input.
func (s Settings) MaxChainBytes() int64 { return int64(s.file.Limits.MaxChainBytes) }

// BackgroundTurnBytes returns how many bytes of turns may be stored after the end of their
// responses.
func (s Settings) BackgroundTurnBytes() int64 { return s.MemoryBytes() / backgroundShare }

// MemoryBytes returns the memory limit of the process.
func (s Settings) MemoryBytes() int64 { return int64(s.file.Limits.MemoryMB) << 20 }

// ConfigInForce returns how long a change of the configuration may take until it is
// in force.
func (s Settings) ConfigInForce() time.Duration {
	return time.Duration(s.file.Config.InForceMS * float64(time.Millisecond))
}

// EvacuationsInForce returns how long an evacuation of a data centre may take until it
// is in force, or 0 if evacuations are not watched.
func (s Settings) EvacuationsInForce() time.Duration {
	return time.Duration(s.file.Evacuations.InForceMS * float64(time.Millisecond))
}

// ToleratedDiskLosses returns how many disks may be lost at once without a loss of data.
func (s Settings) ToleratedDiskLosses() int { return s.file.FaultTolerance.Disks }

// LogSample returns n if one in n successful requests is logged.
func (s Settings) LogSample() int { return s.file.Log.Sample }

// Grace returns the grace period, which bounds how long a shutdown takes.
func (s Settings) Grace() time.Duration {
	return time.Duration(s.file.Shutdown.GraceMS) * time.Millisecond
}
