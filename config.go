package hawthornrail

import "time"

// StaleMode defines how a deployment's requests are handled while its data
// centre is disconnected from configuration updates.
type StaleMode string

// The modes for a disconnected data centre.
const (
	// ServeWhenStale keeps serving with the last accepted configuration.
	ServeWhenStale StaleMode = "serve"
	// RefuseWhenStale refuses requests once the staleness bound has passed.
	RefuseWhenStale StaleMode = "refuse"
)

// Deployment defines what a team may use: its rate, budget, models and services.
type Deployment struct {
	name       string
	team       string
	version    uint64
	rate       float64
	burst      float64
	priority   int
	budget     Budget
	models     []string
	services   []string
	staleMode  StaleMode
	staleAfter time.Duration
}

// NewDeployment returns a deployment of a team with the mode ServeWhenStale.
func NewDeployment(name, team string, version uint64) Deployment {
	return Deployment{name: name, team: team, version: version, staleMode: ServeWhenStale}
}

// WithRate returns a copy with a rate in requests per second and a burst.
func (d Deployment) WithRate(rate, burst float64) Deployment {
	d.rate, d.burst = rate, burst
	return d
}

// WithBudget returns a copy with the initial budget of its programs.
func (d Deployment) WithBudget(b Budget) Deployment {
	d.budget = b
	return d
}

// WithPriority returns a copy with an engine priority; higher priorities are
// served first.
func (d Deployment) WithPriority(priority int) Deployment {
	d.priority = priority
	return d
}

// WithTargets returns a copy with the models and services that its programs may
// call.
func (d Deployment) WithTargets(models, services []string) Deployment {
	d.models, d.services = models, services
	return d
}

// WithStaleMode returns a copy with the mode that applies once the configuration is
// older than staleAfter.
func (d Deployment) WithStaleMode(mode StaleMode, staleAfter time.Duration) Deployment {
	d.staleMode, d.staleAfter = mode, staleAfter
	return d
}

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// Team returns the team that the deployment belongs to.
func (d Deployment) Team() string { return d.team }

// Version returns the version of the configuration object that contains the
// deployment.
func (d Deployment) Version() uint64 { return d.version }

// Rate returns the team's requests per second over the whole fleet.
func (d Deployment) Rate() float64 { return d.rate }

// Burst returns the team's burst in requests over the whole fleet.
func (d Deployment) Burst() float64 { return d.burst }

// Priority returns the priority sent to engines; higher priorities are served
// first.
func (d Deployment) Priority() int { return d.priority }

// Budget returns the initial budget of a program.
func (d Deployment) Budget() Budget { return d.budget }

// Models returns the models that programs may call.
func (d Deployment) Models() []string { return d.models }

// Services returns the services that programs may call.
func (d Deployment) Services() []string { return d.services }

// StaleMode returns the mode that applies while the data centre is disconnected
// from configuration updates.
func (d Deployment) StaleMode() StaleMode { return d.staleMode }

// StaleAfter returns the age of the configuration after which StaleMode applies.
func (d Deployment) StaleAfter() time.Duration { return d.staleAfter }

// Key is a caller's credential; only a hash of its secret is stored.
type Key struct {
	id         string
	hash       string
	deployment string
	revoked    bool
}

// NewKey returns a key with its id and the hex SHA-256 hash of its secret.
func NewKey(id, hash, deployment string, revoked bool) Key {
	return Key{id: id, hash: hash, deployment: deployment, revoked: revoked}
}

// ID returns the public part of the key.
func (k Key) ID() string { return k.id }

// Hash returns the hex SHA-256 hash of the key's secret part.
func (k Key) Hash() string { return k.hash }

// Deployment returns the name of the deployment that the key gives access to.
func (k Key) Deployment() string { return k.deployment }

// Revoked reports whether the key is revoked.
func (k Key) Revoked() bool { return k.revoked }

// EndpointKind distinguishes engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	// EngineEndpoint is a worker that serves models.
	EngineEndpoint EndpointKind = "engine"
	// ServiceEndpoint is an instance of a plain service.
	ServiceEndpoint EndpointKind = "service"
)

// Endpoint is a back end that requests are routed to.
type Endpoint struct {
	name       string
	kind       EndpointKind
	dataCentre string
	address    string
	serves     []string
	slots      int
	version    string
	draining   bool
	fenced     bool
	instance   string
	entry      EndpointEntry
}

// NewEndpoint returns an endpoint at an IP address and port that serves the
// named models or services.
func NewEndpoint(name string, kind EndpointKind, dataCentre, address string, serves []string) Endpoint {
	return Endpoint{name: name, kind: kind, dataCentre: dataCentre, address: address, serves: serves}
}

// WithSlots returns a copy with the number of requests that it batches.
func (e Endpoint) WithSlots(slots int) Endpoint {
	e.slots = slots
	return e
}

// WithVersion returns a copy with the version of its software.
func (e Endpoint) WithVersion(version string) Endpoint {
	e.version = version
	return e
}

// Version returns the version of the endpoint's software, or the empty string.
func (e Endpoint) Version() string { return e.version }

// WithDraining returns a copy that is marked as draining or not.
func (e Endpoint) WithDraining(draining bool) Endpoint {
	e.draining = draining
	return e
}

// WithFenced returns a copy that is marked as checking fencing numbers or not.
func (e Endpoint) WithFenced(fenced bool) Endpoint {
	e.fenced = fenced
	return e
}

// WithInstance returns a copy with the instance id that its process reports.
func (e Endpoint) WithInstance(id string) Endpoint {
	e.instance = id
	return e
}

// WithKind returns a copy with the given kind.
func (e Endpoint) WithKind(kind EndpointKind) Endpoint {
	e.kind = kind
	return e
}

// WithEntry returns a copy with what its entry in the platform's store says apart from
// the endpoint itself.
func (e Endpoint) WithEntry(entry EndpointEntry) Endpoint {
	e.entry = entry
	return e
}

// Entry returns what the endpoint's entry in the platform's store says apart from the
// endpoint itself.
func (e Endpoint) Entry() EndpointEntry { return e.entry }

// Instance returns the instance id that the endpoint's process reports.
func (e Endpoint) Instance() string { return e.instance }

// Name returns the name of the endpoint.
func (e Endpoint) Name() string { return e.name }

// Kind returns the kind of the endpoint.
func (e Endpoint) Kind() EndpointKind { return e.kind }

// DataCentre returns the data centre that the endpoint is in.
func (e Endpoint) DataCentre() string { return e.dataCentre }

// Address returns the IP address and port.
func (e Endpoint) Address() string { return e.address }

// Serves returns the models or services that the endpoint offers.
func (e Endpoint) Serves() []string { return e.serves }

// Slots returns the number of requests that the endpoint batches.
func (e Endpoint) Slots() int { return e.slots }

// Draining reports whether the endpoint is draining and accepts no new requests.
func (e Endpoint) Draining() bool { return e.draining }

// Fenced reports whether the endpoint rejects commands with outdated fencing
// numbers.
func (e Endpoint) Fenced() bool { return e.fenced }

// VM is an entry of the platform's list of VMs.
type VM struct {
	name         string
	dataCentre   string
	address      string
	draining     bool
	withoutRates bool
	hasBorrowers bool
}

// NewVM returns a VM with the address that other VMs connect to; draining marks a
// VM that is being removed.
func NewVM(name, dataCentre, address string, draining bool) VM {
	return VM{name: name, dataCentre: dataCentre, address: address, draining: draining}
}

// WithoutRates returns a copy that holds no share of any team's rate.
func (v VM) WithoutRates() VM {
	v.withoutRates = true
	return v
}

// HoldsRates reports whether the VM may hold shares of the teams' rates.
func (v VM) HoldsRates() bool { return !v.withoutRates }

// WithBorrowers returns a copy that holds its data centre's shares of the
// teams' rates and lends from them to VMs without shares.
func (v VM) WithBorrowers() VM {
	v.hasBorrowers = true
	return v
}

// HasBorrowers reports whether requests arrive at other VMs, which borrow from
// the shares of this one.
func (v VM) HasBorrowers() bool { return v.hasBorrowers }

// Name returns the name of the VM.
func (v VM) Name() string { return v.name }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// Address returns the IP address and port for other VMs.
func (v VM) Address() string { return v.address }

// Draining reports whether the VM is draining because the platform is about to
// remove it.
func (v VM) Draining() bool { return v.draining }
