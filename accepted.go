package hawthornrail

import "context"

// AcceptedConfig is a version of the configuration of teams and routes that the
// platform has accepted.
type AcceptedConfig struct {
	version     uint64
	deployments []Deployment
	keys        []Key
	routes      []Route
	services    []Service
	problems    []error
}

// NewAcceptedConfig returns an empty configuration with a version.
func NewAcceptedConfig(version uint64) AcceptedConfig { return AcceptedConfig{version: version} }

// WithTeams returns a copy with the given deployments and keys of teams.
func (a AcceptedConfig) WithTeams(deployments []Deployment, keys []Key) AcceptedConfig {
	a.deployments, a.keys = deployments, keys
	return a
}

// WithRoutes returns a copy with the given routes and the services that they target.
func (a AcceptedConfig) WithRoutes(routes []Route, services []Service) AcceptedConfig {
	a.routes, a.services = routes, services
	return a
}

// WithProblems returns a copy with what is wrong with values that were replaced.
func (a AcceptedConfig) WithProblems(problems []error) AcceptedConfig {
	a.problems = problems
	return a
}

// Problems returns an error for each value that is out of range and was replaced by the nearest
// one.
func (a AcceptedConfig) Problems() []error { return a.problems }

// Version returns the version; later configurations have higher versions.
func (a AcceptedConfig) Version() uint64 { return a.version }

// Deployments returns the teams' deployments.
func (a AcceptedConfig) Deployments() []Deployment { return a.deployments }

// Keys returns the teams' keys.
func (a AcceptedConfig) Keys() []Key { return a.keys }

// Routes returns the routes.
func (a AcceptedConfig) Routes() []Route { return a.routes }

// Services returns the services.
func (a AcceptedConfig) Services() []Service { return a.services }

// Holder is the VM that holds a data centre's shares of budgets and rates.
type Holder struct {
	dataCentre string
	vm         string
	address    string
}

// NewHolder returns the holder of a data centre with the address at which
// other VMs reach it.
func NewHolder(dataCentre, vm, address string) Holder {
	return Holder{dataCentre: dataCentre, vm: vm, address: address}
}

// DataCentre returns the data centre whose shares are held.
func (h Holder) DataCentre() string { return h.dataCentre }

// VM returns the name of the VM.
func (h Holder) VM() string { return h.vm }

// Address returns the IP address and port for other VMs.
func (h Holder) Address() string { return h.address }

// VMRegistry registers VMs and holders in the platform's store.
type VMRegistry interface {
	// Register stores the entry of a VM under its name.
	Register(ctx context.Context, vm VM) error
	// RegisterDisk stores the entry of a VM that stores turns of conversations.
	RegisterDisk(ctx context.Context, vm VM) error
	// Holder returns the holder of a data centre and the revision of its entry,
	// which is 0 if there is none.
	Holder(ctx context.Context, dataCentre string) (Holder, uint64, error)
	// Claim stores h as the holder of its data centre if the entry still has the
	// given revision.
	Claim(ctx context.Context, h Holder, revision uint64) error
}

// ObjectDecoder decodes the platform's objects.
type ObjectDecoder interface {
	// Config decodes the accepted configuration; ok is false if there is none.
	Config(objects []Object) (config AcceptedConfig, ok bool, err error)
	// Endpoints decodes the endpoints and returns an error for each malformed
	// object.
	Endpoints(objects []Object) ([]Endpoint, []error)
	// VMs decodes the list of VMs and, apart, those that store turns of conversations. It
	// returns an error for each malformed object.
	VMs(objects []Object) (list, diskVMs []VM, errs []error)
	// Evacuations decodes the evacuations of data centres. It returns an error for each
	// malformed object, which counts as an evacuation too.
	Evacuations(objects []Object) ([]Evacuation, []error)
}
