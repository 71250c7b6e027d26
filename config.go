package hawthornrail

import "time"

// CutOffMode says what a deployment does while its data centre can't hear
// configuration changes.
type CutOffMode string

// The cut-off modes.
const (
	// ServeWhenCutOff goes on with the last accepted configuration.
	ServeWhenCutOff CutOffMode = "serve"
	// RefuseWhenCutOff refuses requests once the staleness bound has passed.
	RefuseWhenCutOff CutOffMode = "refuse"
)

// Deployment is what a team may do: its rate, budget, models and services.
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
	cutOff     CutOffMode
	staleAfter time.Duration
}

// NewDeployment returns a deployment of a team that serves when cut off.
func NewDeployment(name, team string, version uint64) Deployment {
	return Deployment{name: name, team: team, version: version, cutOff: ServeWhenCutOff}
}

// WithRate returns a copy with a rate in requests per second and a burst.
func (d Deployment) WithRate(rate, burst float64) Deployment {
	d.rate, d.burst = rate, burst
	return d
}

// WithBudget returns a copy with the budget that its programs start with.
func (d Deployment) WithBudget(b Budget) Deployment {
	d.budget = b
	return d
}

// WithPriority returns a copy with an engine priority; higher goes first.
func (d Deployment) WithPriority(priority int) Deployment {
	d.priority = priority
	return d
}

// WithTargets returns a copy with the models and services it may use.
func (d Deployment) WithTargets(models, services []string) Deployment {
	d.models, d.services = models, services
	return d
}

// WithCutOff returns a copy with its behaviour once configuration is older
// than staleAfter.
func (d Deployment) WithCutOff(mode CutOffMode, staleAfter time.Duration) Deployment {
	d.cutOff, d.staleAfter = mode, staleAfter
	return d
}

// Name returns the name of the deployment.
func (d Deployment) Name() string { return d.name }

// Team returns the team that the deployment belongs to.
func (d Deployment) Team() string { return d.team }

// Version returns the version of the object that accepted the deployment.
func (d Deployment) Version() uint64 { return d.version }

// Rate returns the team's requests per second over the whole fleet.
func (d Deployment) Rate() float64 { return d.rate }

// Burst returns the team's burst in requests over the whole fleet.
func (d Deployment) Burst() float64 { return d.burst }

// Priority returns the priority sent to engines; higher goes first.
func (d Deployment) Priority() int { return d.priority }

// Budget returns the budget that a program starts with.
func (d Deployment) Budget() Budget { return d.budget }

// Models returns the models that programs may call.
func (d Deployment) Models() []string { return d.models }

// Services returns the services that programs may call.
func (d Deployment) Services() []string { return d.services }

// CutOff returns what to do while configuration changes can't be heard.
func (d Deployment) CutOff() CutOffMode { return d.cutOff }

// StaleAfter returns the age of configuration from which CutOff applies.
func (d Deployment) StaleAfter() time.Duration { return d.staleAfter }

// Key is a caller's credential, kept as a hash.
type Key struct {
	id         string
	hash       string
	deployment string
	withdrawn  bool
}

// NewKey returns a key with its id and the hex SHA-256 hash of its secret.
func NewKey(id, hash, deployment string, withdrawn bool) Key {
	return Key{id: id, hash: hash, deployment: deployment, withdrawn: withdrawn}
}

// ID returns the public part of the key.
func (k Key) ID() string { return k.id }

// Hash returns the hex SHA-256 hash of the key's secret part.
func (k Key) Hash() string { return k.hash }

// Deployment returns the name of the deployment that the key gives access to.
func (k Key) Deployment() string { return k.deployment }

// Withdrawn reports whether the key no longer works.
func (k Key) Withdrawn() bool { return k.withdrawn }

// EndpointKind is the sort of an endpoint.
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
	leaving    bool
	fenced     bool
	instance   string
}

// NewEndpoint returns an endpoint at an IP address and port that serves the
// named models or services.
func NewEndpoint(name string, kind EndpointKind, dataCentre, address string, serves []string) Endpoint {
	return Endpoint{name: name, kind: kind, dataCentre: dataCentre, address: address, serves: serves}
}

// WithSlots returns a copy with the number of requests it batches.
func (e Endpoint) WithSlots(slots int) Endpoint {
	e.slots = slots
	return e
}

// WithLeaving returns a copy that is marked as leaving or not.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.leaving = leaving
	return e
}

// WithFenced returns a copy marked as checking fencing numbers or not.
func (e Endpoint) WithFenced(fenced bool) Endpoint {
	e.fenced = fenced
	return e
}

// WithInstance returns a copy with the id by which its process knows itself.
func (e Endpoint) WithInstance(id string) Endpoint {
	e.instance = id
	return e
}

// WithKind returns a copy of another kind.
func (e Endpoint) WithKind(kind EndpointKind) Endpoint {
	e.kind = kind
	return e
}

// Instance returns the id by which the endpoint's process knows itself.
func (e Endpoint) Instance() string { return e.instance }

// Name returns the name of the endpoint.
func (e Endpoint) Name() string { return e.name }

// Kind returns the sort of the endpoint.
func (e Endpoint) Kind() EndpointKind { return e.kind }

// DataCentre returns the data centre that the endpoint stands in.
func (e Endpoint) DataCentre() string { return e.dataCentre }

// Address returns the IP address and port.
func (e Endpoint) Address() string { return e.address }

// Serves returns the models or services that the endpoint offers.
func (e Endpoint) Serves() []string { return e.serves }

// Slots returns the number of requests that the endpoint batches.
func (e Endpoint) Slots() int { return e.slots }

// Leaving reports whether the endpoint takes no new work.
func (e Endpoint) Leaving() bool { return e.leaving }

// Fenced reports whether the endpoint refuses orders with old numbers.
func (e Endpoint) Fenced() bool { return e.fenced }

// VM is an entry of the platform's list of VMs.
type VM struct {
	name       string
	dataCentre string
	address    string
	leaving    bool
	noRates    bool
	forOthers  bool
}

// NewVM returns a VM with the address that other VMs reach it at.
func NewVM(name, dataCentre, address string, leaving bool) VM {
	return VM{name: name, dataCentre: dataCentre, address: address, leaving: leaving}
}

// WithoutRates returns a copy that holds no part of any team's rate.
func (v VM) WithoutRates() VM {
	v.noRates = true
	return v
}

// HoldsRates reports whether the VM may hold parts of the teams' rates.
func (v VM) HoldsRates() bool { return !v.noRates }

// HoldingForOthers returns a copy that holds its data centre's parts of the teams'
// rates for VMs that have none.
func (v VM) HoldingForOthers() VM {
	v.forOthers = true
	return v
}

// HoldsForOthers reports whether requests arrive at VMs that borrow from this
// one.
func (v VM) HoldsForOthers() bool { return v.forOthers }

// Name returns the name of the VM.
func (v VM) Name() string { return v.name }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// Address returns the IP address and port for other VMs.
func (v VM) Address() string { return v.address }

// Leaving reports whether the platform is about to remove the VM.
func (v VM) Leaving() bool { return v.leaving }
