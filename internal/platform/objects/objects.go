package objects

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// The kinds of object.
const (
	KindDeployment = "deployment"
	KindKey        = "key"
	KindEndpoint   = "endpoint"
	KindVM         = "vm"
	KindRoute      = "route"
	KindHolding    = "holding"
)

// Object is a stored value with its version. Versions increase across all
// objects.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Budget is the JSON form of a program's budget.
type Budget struct {
	Calls      uint64 `json:"calls"`
	Tokens     uint64 `json:"tokens"`
	WallTimeMS int64  `json:"wall_time_ms"`
	Depth      uint32 `json:"depth"`
	Children   uint32 `json:"children"`
}

// Deployment is the value of a deployment object.
type Deployment struct {
	Team          string   `json:"team"`
	RatePerSecond float64  `json:"rate_per_second"`
	Burst         float64  `json:"burst"`
	Priority      int      `json:"priority"`
	Budget        Budget   `json:"budget"`
	Models        []string `json:"models"`
	Services      []string `json:"services"`
	WhenStale     string   `json:"when_cut_off"`
	StaleAfterMS  int64    `json:"stale_after_ms"`
	Source        *Source  `json:"source,omitempty"`
}

// Source is the template and text that a deployment was rendered from.
type Source struct {
	Template        string `json:"template"`
	TemplateVersion uint64 `json:"template_version"`
	Text            string `json:"text"`
}

// Key is the value of a key object.
type Key struct {
	Hash       string `json:"hash"`
	Deployment string `json:"deployment"`
	Revoked    bool   `json:"withdrawn"`
}

// Endpoint is the value of an endpoint object.
type Endpoint struct {
	Kind       string   `json:"kind"`
	DataCentre string   `json:"data_centre"`
	Address    string   `json:"address"`
	Serves     []string `json:"serves"`
	Slots      int      `json:"slots"`
	Draining   bool     `json:"leaving"`
	Fenced     bool     `json:"fenced"`
}

// VM is the value of a VM object.
type VM struct {
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Draining   bool   `json:"leaving"`
}

// Route is the value of an object that opens one path of a service to all
// callers.
type Route struct {
	Service    string `json:"service"`
	Path       string `json:"path"`
	Deployment string `json:"deployment"`
}

// Holding is the value of an object that records which instances hold the
// copies of a holding.
type Holding struct {
	Holder string `json:"holder"`
	Backup string `json:"backup,omitempty"`
	Epoch  uint64 `json:"epoch"`
}

// Decode decodes an object's value into v and rejects unknown fields.
func (o Object) Decode(v any) error {
	d := json.NewDecoder(bytes.NewReader(o.Value))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("object %s/%s version %d: %w", o.Kind, o.Name, o.Version, err)
	}
	return nil
}

// ToDomain returns the budget.
func (b Budget) ToDomain() hawthornrail.Budget {
	return hawthornrail.NewBudget(b.Calls, b.Tokens, time.Duration(b.WallTimeMS)*time.Millisecond, b.Depth, b.Children)
}

// ToDomain returns the deployment of the object with a name and version.
func (d Deployment) ToDomain(name string, version uint64) hawthornrail.Deployment {
	mode := hawthornrail.StaleMode(d.WhenStale)
	if mode == "" {
		mode = hawthornrail.ServeWhenStale
	}
	return hawthornrail.NewDeployment(name, d.Team, version).
		WithRate(d.RatePerSecond, d.Burst).
		WithPriority(d.Priority).
		WithBudget(d.Budget.ToDomain()).
		WithTargets(d.Models, d.Services).
		WithStaleMode(mode, time.Duration(d.StaleAfterMS)*time.Millisecond)
}

// ToDomain returns the key with the given id.
func (k Key) ToDomain(id string) hawthornrail.Key {
	return hawthornrail.NewKey(id, k.Hash, k.Deployment, k.Revoked)
}

// ToDomain returns the endpoint with the given name.
func (e Endpoint) ToDomain(name string) hawthornrail.Endpoint {
	return hawthornrail.NewEndpoint(name, hawthornrail.EndpointKind(e.Kind), e.DataCentre, e.Address, e.Serves).
		WithSlots(e.Slots).WithDraining(e.Draining).WithFenced(e.Fenced)
}

// ToDomain returns the VM with the given name.
func (v VM) ToDomain(name string) hawthornrail.VM {
	return hawthornrail.NewVM(name, v.DataCentre, v.Address, v.Draining)
}
