package filter

import (
	"context"
	"slices"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/team/keyring"
)

// Chain returns a handler that applies the filters in order and then calls last.
func Chain(last hawthornrail.Handler, filters ...hawthornrail.Filter) hawthornrail.Handler {
	for _, f := range slices.Backward(filters) {
		next := last
		last = hawthornrail.HandlerFunc(func(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter) error {
			return f.Filter(ctx, r, w, next)
		})
	}
	return last
}

// Identify determines the team of the caller's key.
type Identify struct {
	config hawthornrail.Configuration
}

// NewIdentify returns the filter over a configuration.
func NewIdentify(config hawthornrail.Configuration) *Identify {
	return &Identify{config: config}
}

// Filter refuses a request without a valid key, unless its route is open.
func (f *Identify) Filter(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter, next hawthornrail.Handler) error {
	snapshot := f.config.Snapshot()
	if name, ok := snapshot.PublicRoute(r.Service(), r.Path()); ok && r.Service() != "" {
		d, ok := snapshot.Deployment(name)
		if !ok {
			return hawthornrail.NotRun(hawthornrail.CodeForbidden, "the route's deployment does not exist")
		}
		r.Identify("", d)
		r.SetRevision(snapshot.Revision())
		return next.Serve(ctx, r, w)
	}
	d, id, err := keyring.Check(snapshot, r.Credential())
	if err != nil {
		return err
	}
	r.Identify(id, d)
	r.SetRevision(snapshot.Revision())
	return next.Serve(ctx, r, w)
}

// Authorise checks that the deployment may use the model or service.
type Authorise struct {
	config hawthornrail.Configuration
	secret []byte
}

// NewAuthorise returns the filter; secret is the secret that signs program ids.
func NewAuthorise(config hawthornrail.Configuration, secret []byte) *Authorise {
	return &Authorise{config: config, secret: secret}
}

// Filter refuses models and services that the deployment does not list, and
// programs that do not belong to the team.
func (f *Authorise) Filter(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter, next hawthornrail.Handler) error {
	d := r.Deployment()
	if r.Model() != "" && !slices.Contains(d.Models(), r.Model()) {
		return hawthornrail.NotRun(hawthornrail.CodeUnknownModel, "model %q is not one of the deployment's", r.Model())
	}
	if r.Service() != "" && !slices.Contains(d.Services(), r.Service()) {
		return hawthornrail.NotRun(hawthornrail.CodeUnknownService, "service %q is not one of the deployment's", r.Service())
	}
	if err := keyring.CheckStaleness(f.config, d); err != nil {
		return err
	}
	if r.Program() == "" {
		return next.Serve(ctx, r, w)
	}
	id, err := hawthornrail.ParseProgramID(r.Program())
	if err != nil || !id.Belongs(r.Team(), f.secret) {
		return hawthornrail.NotRun(hawthornrail.CodeUnknownProgram, "program %q is not known to the team", r.Program())
	}
	return next.Serve(ctx, r, w)
}

// Admit enforces the rates of teams.
type Admit struct {
	admitter hawthornrail.Admitter
}

// NewAdmit returns the filter over an admitter.
func NewAdmit(admitter hawthornrail.Admitter) *Admit {
	return &Admit{admitter: admitter}
}

// Filter refuses a request that exceeds the team's rate and burst.
func (f *Admit) Filter(ctx context.Context, r *hawthornrail.Request, w hawthornrail.ResponseWriter, next hawthornrail.Handler) error {
	retryAfter, ok := f.admitter.Admit(ctx, r.Deployment())
	if !ok {
		return hawthornrail.NotRun(hawthornrail.CodeRate, "the team's rate is used up").WithRetryAfter(retryAfter)
	}
	return next.Serve(ctx, r, w)
}
