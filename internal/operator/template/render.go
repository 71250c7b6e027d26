package template

import (
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

// field is a field of a deployment that a template sets.
type field struct {
	name     string
	kind     Type
	required bool
	set      func(d *objects.Deployment, v Value)
}

var fields = []field{
	{"team", TypeString, true, func(d *objects.Deployment, v Value) { d.Team = v.text }},
	{"rate_per_second", TypeNumber, true, func(d *objects.Deployment, v Value) { d.RatePerSecond = v.magnitude() }},
	{"burst", TypeNumber, true, func(d *objects.Deployment, v Value) { d.Burst = v.magnitude() }},
	{"priority", TypeInteger, false, func(d *objects.Deployment, v Value) { d.Priority = int(v.integer) }},
	{"models", TypeList, true, func(d *objects.Deployment, v Value) { d.Models = v.list }},
	{"services", TypeList, true, func(d *objects.Deployment, v Value) { d.Services = v.list }},
	{"when_cut_off", TypeString, false, func(d *objects.Deployment, v Value) { d.WhenStale = v.text }},
	{"stale_after", TypeDuration, false, func(d *objects.Deployment, v Value) { d.StaleAfterMS = v.duration.Milliseconds() }},
	{"budget.calls", TypeInteger, true, func(d *objects.Deployment, v Value) { d.Budget.Calls = uint64(v.integer) }},
	{"budget.tokens", TypeInteger, true, func(d *objects.Deployment, v Value) { d.Budget.Tokens = uint64(v.integer) }},
	{"budget.wall_time", TypeDuration, true, func(d *objects.Deployment, v Value) { d.Budget.WallTimeMS = v.duration.Milliseconds() }},
	{"budget.depth", TypeInteger, true, func(d *objects.Deployment, v Value) { d.Budget.Depth = uint32(v.integer) }},
	{"budget.children", TypeInteger, true, func(d *objects.Deployment, v Value) { d.Budget.Children = uint32(v.integer) }},
}

func findField(name string) (field, bool) {
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if i < 0 {
		return field{}, false
	}
	return fields[i], true
}

// deploymentFile is the TOML form of a deployment.
type deploymentFile struct {
	Template   string         `toml:"template"`
	Parameters map[string]any `toml:"parameters"`
}

// DeploymentSpec is a parsed deployment file: the name of a template and the
// values of its parameters.
type DeploymentSpec struct {
	name   string
	file   deploymentFile
	source *source
	text   string
}

// Name returns the name of the deployment.
func (f DeploymentSpec) Name() string { return f.name }

// Template returns the name of the template that the deployment is rendered from.
func (f DeploymentSpec) Template() string { return f.file.Template }

// ParseDeployment parses a deployment file. Errors are prefixed with path.
// Unknown keys and errors that depend on the template are reported by Render.
func ParseDeployment(name, path, text string) (DeploymentSpec, error) {
	f := DeploymentSpec{name: name, text: text}
	s, ok := decode(path, text, "parameters", &f.file)
	f.source = s
	if ok && f.file.Template != "" {
		return f, nil
	}
	if ok {
		s.addErrorf(toml.Key{"template"}, "is missing")
	}
	return f, s.err()
}

// Render renders a template with the parameters of a deployment file. The error
// lists every problem found.
func Render(t Template, f DeploymentSpec) (objects.Deployment, error) {
	s := &source{path: f.source.path, lines: f.source.lines, errs: slices.Clone(f.source.errs)}
	values := make(map[string]Value)
	for _, p := range t.parameters {
		if v, ok := s.parameterValue(p, f.file.Parameters); ok {
			values[p.name] = v
		}
	}
	for name := range f.file.Parameters {
		if !slices.ContainsFunc(t.parameters, func(p Parameter) bool { return p.name == name }) {
			s.addErrorf(toml.Key{"parameters", name}, "template %s has no such parameter", t.name)
		}
	}
	d := objects.Deployment{
		WhenStale: string(hawthornrail.ServeWhenStale), StaleAfterMS: defaultStaleAfter.Milliseconds(),
		Source: &objects.Source{Template: t.name, Text: f.text},
	}
	for _, field := range fields {
		b, ok := t.bindings[field.name]
		if !ok {
			continue
		}
		v := b.value
		if b.parameter != "" {
			v, ok = values[b.parameter]
		}
		if ok {
			field.set(&d, v)
			s.checkField(field, b, v)
		}
	}
	s.sort()
	return d, s.err()
}

func (s *source) parameterValue(p Parameter, given map[string]any) (Value, bool) {
	key := toml.Key{"parameters", p.name}
	raw, ok := given[p.name]
	if !ok {
		if p.defaultValue == nil {
			s.addErrorf(key, "is required: %s", p)
			return Value{}, false
		}
		return *p.defaultValue, true
	}
	v, err := newValue(raw, p.kind)
	if err != nil {
		s.addErrorf(key, "%s", err)
		return v, false
	}
	s.checkRange(key, p, v)
	return v, true
}

// checkField checks a value against the rules that apply to every deployment,
// whatever its template.
func (s *source) checkField(f field, b binding, v Value) {
	key := toml.Key{"parameters", b.parameter}
	if b.parameter == "" {
		key = toml.Key{"template"}
	}
	switch f.name {
	case "team":
		if v.text == "" || strings.ContainsAny(v.text, " /\t\n") {
			s.addErrorf(key, "team %q: want a name without spaces and slashes", v.text)
		}
	case "when_cut_off":
		mode := hawthornrail.StaleMode(v.text)
		if mode != hawthornrail.ServeWhenStale && mode != hawthornrail.RefuseWhenStale {
			s.addErrorf(key, "when_cut_off %q: want serve or refuse", v.text)
		}
	case "stale_after":
		if v.duration < minStaleAfter {
			s.addErrorf(key, "stale_after %s is below the least, %s", v, minStaleAfter)
		}
	case "rate_per_second", "burst", "budget.calls", "budget.tokens", "budget.wall_time":
		if v.magnitude() <= 0 {
			s.addErrorf(key, "%s must be above 0", f.name)
		}
	case "budget.depth", "budget.children":
		if v.magnitude() < 0 {
			s.addErrorf(key, "%s must be 0 or more", f.name)
		}
	}
}

const (
	// minStaleAfter is above the age that a current configuration reaches while
	// nothing changes.
	minStaleAfter     = 5 * time.Second
	defaultStaleAfter = 30 * time.Second
)
