package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultReadTimeout    = 10 * time.Second
	defaultRequestTimeout = 5 * time.Minute
	defaultDrainTimeout   = 30 * time.Second
	defaultReplyTokens    = 1024
	defaultRetryLimit     = 2
	minSecretBytes        = 16
	redactedSecret        = "(hidden)"
)

// file is the TOML form of the settings.
type file struct {
	VM       vmSection       `toml:"vm"`
	Caller   callerSection   `toml:"caller"`
	Operator operatorSection `toml:"operator"`
	Peer     peerSection     `toml:"peer"`
	Platform platformSection `toml:"platform"`
	Limits   limitsSection   `toml:"limits"`
	Log      logSection      `toml:"log"`
	Traces   tracesSection   `toml:"traces"`
	Test     testSection     `toml:"test,omitempty"`
}

type vmSection struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
}

type callerSection struct {
	Address     string `toml:"address"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Plain       bool   `toml:"plain"`
}

type operatorSection struct {
	Address string `toml:"address"`
}

type peerSection struct {
	Address     string   `toml:"address"`
	Secret      string   `toml:"secret"`
	Certificate string   `toml:"certificate"`
	Key         string   `toml:"key"`
	Authority   string   `toml:"authority"`
	Plain       bool     `toml:"plain"`
	Peers       []string `toml:"peers"`
}

type platformSection struct {
	Address string `toml:"address"`
}

type limitsSection struct {
	MaxBodyBytes   int      `toml:"max_body_bytes"`
	ReadTimeout    duration `toml:"read_timeout"`
	RequestTimeout duration `toml:"request_timeout"`
	DrainTimeout   duration `toml:"drain_timeout"`
	ReplyTokens    uint64   `toml:"reply_tokens"`
	RetryLimit     int      `toml:"retry_limit"`
}

type logSection struct {
	Level string `toml:"level"`
}

type tracesSection struct {
	Exporter string `toml:"exporter"`
	File     string `toml:"file"`
	Address  string `toml:"address"`
}

// testSection holds settings that only tests use.
type testSection struct {
	Routes map[string]string `toml:"routes,omitempty"`
}

// duration is a time.Duration written with its unit, such as "30s".
type duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a duration with a unit, such as \"30s\": %w", err)
	}
	*d = duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are the validated settings of a process.
type Settings struct {
	file   file
	secret []byte
}

// Load reads and validates a settings file. The error lists every problem found.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse validates settings given as text. Errors are prefixed with path.
func Parse(path, text string) (Settings, error) {
	f := defaults()
	meta, err := toml.Decode(text, &f)
	if err != nil {
		return Settings{}, decodeError(path, err)
	}
	c := checker{path: path, lines: strings.Split(text, "\n")}
	for _, key := range meta.Undecoded() {
		c.addErrorf(key, "unknown key; see docs/operators/settings.md for the keys that exist")
	}
	secret := c.check(f)
	if len(c.errs) > 0 {
		return Settings{}, errors.Join(c.errs...)
	}
	return Settings{file: f, secret: secret}, nil
}

func defaults() file {
	return file{
		Limits: limitsSection{
			MaxBodyBytes: defaultMaxBodyBytes, ReadTimeout: duration(defaultReadTimeout),
			RequestTimeout: duration(defaultRequestTimeout), DrainTimeout: duration(defaultDrainTimeout),
			ReplyTokens: defaultReplyTokens, RetryLimit: defaultRetryLimit,
		},
		Log:    logSection{Level: "info"},
		Traces: tracesSection{Exporter: "none"},
	}
}

func decodeError(path string, err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Errorf("%s:%d: %s", path, parse.Position.Line, parse.Message)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// checker validates settings and collects the errors with their line numbers.
type checker struct {
	path  string
	lines []string
	errs  []error
}

func (c *checker) addErrorf(key toml.Key, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	c.errs = append(c.errs, fmt.Errorf("%s:%d: %s: %s", c.path, c.line(key), key, message))
}

// line returns the line number of a key, else of its section, else 1.
func (c *checker) line(key toml.Key) int {
	section, found := "", 1
	for i, text := range c.lines {
		text = strings.TrimSpace(text)
		if strings.HasPrefix(text, "[") {
			section = strings.Trim(text, "[] ")
		}
		if section != key[0] {
			continue
		}
		if found == 1 {
			found = i + 1
		}
		name, _, ok := strings.Cut(text, "=")
		if ok && strings.TrimSpace(name) == key[len(key)-1] {
			return i + 1
		}
	}
	return found
}

func (c *checker) check(f file) []byte {
	c.name(toml.Key{"vm", "name"}, f.VM.Name)
	c.name(toml.Key{"vm", "data_centre"}, f.VM.DataCentre)
	c.address(toml.Key{"caller", "address"}, f.Caller.Address)
	c.address(toml.Key{"operator", "address"}, f.Operator.Address)
	c.address(toml.Key{"peer", "address"}, f.Peer.Address)
	for _, address := range f.Peer.Peers {
		c.address(toml.Key{"peer", "peers"}, address)
	}
	c.address(toml.Key{"platform", "address"}, f.Platform.Address)
	c.positive(toml.Key{"limits", "max_body_bytes"}, int64(f.Limits.MaxBodyBytes))
	c.positive(toml.Key{"limits", "read_timeout"}, int64(f.Limits.ReadTimeout))
	c.positive(toml.Key{"limits", "request_timeout"}, int64(f.Limits.RequestTimeout))
	c.positive(toml.Key{"limits", "drain_timeout"}, int64(f.Limits.DrainTimeout))
	c.positive(toml.Key{"limits", "reply_tokens"}, int64(f.Limits.ReplyTokens))
	if f.Limits.RetryLimit < 0 {
		c.addErrorf(toml.Key{"limits", "retry_limit"}, "must be 0 or more")
	}
	c.oneOf(toml.Key{"log", "level"}, f.Log.Level, "debug", "info", "warn", "error")
	c.oneOf(toml.Key{"traces", "exporter"}, f.Traces.Exporter, "none", "file", "otlp")
	if f.Traces.Exporter == "otlp" {
		c.address(toml.Key{"traces", "address"}, f.Traces.Address)
	}
	if f.Traces.Exporter == "file" && f.Traces.File == "" {
		c.addErrorf(toml.Key{"traces", "file"}, "the file exporter needs a file")
	}
	c.tlsFiles("caller", f.Caller.Plain, tlsFile{"certificate", f.Caller.Certificate}, tlsFile{"key", f.Caller.Key})
	c.tlsFiles("peer", f.Peer.Plain, tlsFile{"certificate", f.Peer.Certificate}, tlsFile{"key", f.Peer.Key}, tlsFile{"authority", f.Peer.Authority})
	secret, err := hex.DecodeString(f.Peer.Secret)
	if err != nil || len(secret) < minSecretBytes {
		c.addErrorf(toml.Key{"peer", "secret"}, "want at least %d bytes in hexadecimal", minSecretBytes)
	}
	return secret
}

func (c *checker) name(key toml.Key, value string) {
	if value == "" {
		c.addErrorf(key, "is missing; want a name of letters, digits and hyphens")
		return
	}
	for _, r := range value {
		if r != '-' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			c.addErrorf(key, "%q: want a name of letters, digits and hyphens", value)
			return
		}
	}
}

func (c *checker) address(key toml.Key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addErrorf(key, "%q: want an IP address and a port, such as \"10.0.0.1:8080\"", value)
	}
}

// tlsFile is a key that names a PEM file.
type tlsFile struct {
	key  string
	path string
}

// tlsFiles requires every file unless plain disables TLS, and none if it does.
func (c *checker) tlsFiles(section string, plain bool, files ...tlsFile) {
	for _, f := range files {
		key := toml.Key{section, f.key}
		if plain && f.path != "" {
			c.addErrorf(key, "TLS is switched off by plain = true; remove one of the two")
		}
		if !plain && f.path == "" {
			c.addErrorf(key, "is missing; want a PEM file, or plain = true to do without TLS")
		}
	}
}

func (c *checker) positive(key toml.Key, value int64) {
	if value <= 0 {
		c.addErrorf(key, "must be above 0")
	}
}

func (c *checker) oneOf(key toml.Key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addErrorf(key, "%q: want one of %s", value, strings.Join(allowed, ", "))
	}
}

// Print returns the settings in force as TOML, with secrets redacted.
func (s Settings) Print() (string, error) {
	f := s.file
	f.Peer.Secret = redactedSecret
	var b strings.Builder
	if err := toml.NewEncoder(&b).Encode(f); err != nil {
		return "", fmt.Errorf("print settings: %w", err)
	}
	return b.String(), nil
}

// VM returns the name of this VM.
func (s Settings) VM() string { return s.file.VM.Name }

// DataCentre returns the name of this VM's data centre.
func (s Settings) DataCentre() string { return s.file.VM.DataCentre }

// CallerAddress returns the listen address for callers.
func (s Settings) CallerAddress() string { return s.file.Caller.Address }

// CallerCertificate returns the PEM file of the certificate presented to callers.
func (s Settings) CallerCertificate() string { return s.file.Caller.Certificate }

// CallerKey returns the PEM file of the private key of CallerCertificate.
func (s Settings) CallerKey() string { return s.file.Caller.Key }

// CallerPlain reports whether callers are served without TLS.
func (s Settings) CallerPlain() bool { return s.file.Caller.Plain }

// PeerCertificate returns the PEM file of the certificate presented to other VMs.
func (s Settings) PeerCertificate() string { return s.file.Peer.Certificate }

// PeerKey returns the PEM file of the private key of PeerCertificate.
func (s Settings) PeerKey() string { return s.file.Peer.Key }

// PeerAuthority returns the PEM file of the fleet's certificate authority.
func (s Settings) PeerAuthority() string { return s.file.Peer.Authority }

// PeerPlain reports whether VMs connect to each other without TLS.
func (s Settings) PeerPlain() bool { return s.file.Peer.Plain }

// OperatorAddress returns the listen address for operators.
func (s Settings) OperatorAddress() string { return s.file.Operator.Address }

// PeerAddress returns the listen address for other VMs.
func (s Settings) PeerAddress() string { return s.file.Peer.Address }

// Peers returns addresses of other VMs to load the configuration from when the
// platform does not respond at startup.
func (s Settings) Peers() []string { return s.file.Peer.Peers }

// Secret returns the secret shared by all VMs of the fleet.
func (s Settings) Secret() []byte { return s.secret }

// PlatformAddress returns the address of the platform's service.
func (s Settings) PlatformAddress() string { return s.file.Platform.Address }

// MaxBodyBytes returns the maximum size of a request body.
func (s Settings) MaxBodyBytes() int { return s.file.Limits.MaxBodyBytes }

// ReadTimeout returns the timeout for reading a request.
func (s Settings) ReadTimeout() time.Duration { return time.Duration(s.file.Limits.ReadTimeout) }

// RequestTimeout returns the timeout for a whole request.
func (s Settings) RequestTimeout() time.Duration {
	return time.Duration(s.file.Limits.RequestTimeout)
}

// DrainTimeout returns the timeout for a graceful shutdown.
func (s Settings) DrainTimeout() time.Duration { return time.Duration(s.file.Limits.DrainTimeout) }

// DefaultResponseTokens returns the maximum response length, in tokens, of a call
// that names no limit.
func (s Settings) DefaultResponseTokens() uint64 { return s.file.Limits.ReplyTokens }

// RetryLimit returns the maximum number of retries of an idempotent call.
func (s Settings) RetryLimit() int { return s.file.Limits.RetryLimit }

// LogLevel returns the minimum level that is logged.
func (s Settings) LogLevel() string { return s.file.Log.Level }

// RelayRoutes maps addresses to the relays that replace them in tests.
func (s Settings) RelayRoutes() map[string]string { return s.file.Test.Routes }

// TraceExporter returns the trace exporter: none, file or otlp.
func (s Settings) TraceExporter() string { return s.file.Traces.Exporter }

// TraceFile returns the output file of the file exporter.
func (s Settings) TraceFile() string { return s.file.Traces.File }

// TraceAddress returns the address of the OTLP collector.
func (s Settings) TraceAddress() string { return s.file.Traces.Address }
