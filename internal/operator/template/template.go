package template

import (
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// templateFile is the TOML form of a template.
type templateFile struct {
	Description string                   `toml:"description"`
	Parameters  map[string]parameterFile `toml:"parameters"`
	Deployment  map[string]any           `toml:"deployment"`
}

type parameterFile struct {
	Type        string   `toml:"type"`
	Description string   `toml:"description"`
	Unit        string   `toml:"unit"`
	Required    bool     `toml:"required"`
	Default     any      `toml:"default"`
	Min         any      `toml:"min"`
	Max         any      `toml:"max"`
	Allowed     []string `toml:"allowed"`
}

// Template is a parsed and validated template.
type Template struct {
	name        string
	text        string
	description string
	parameters  []Parameter
	bindings    map[string]binding
}

// Parameter is a parameter of a template. A deployment file must set it if it is
// required, and may override its default otherwise.
type Parameter struct {
	name         string
	kind         Type
	unit         string
	required     bool
	defaultValue *Value
	minimum      *Value
	maximum      *Value
	allowed      []string
}

// binding is the source of a deployment field: a parameter, or a constant value
// if parameter is empty.
type binding struct {
	parameter string
	value     Value
}

// Name returns the name of the template.
func (t Template) Name() string { return t.name }

// Text returns the source text of the template.
func (t Template) Text() string { return t.text }

// Description returns the description of the template.
func (t Template) Description() string { return t.description }

// Parameters returns the parameters, sorted by name.
func (t Template) Parameters() []Parameter { return t.parameters }

// Name returns the name of the parameter.
func (p Parameter) Name() string { return p.name }

// String returns the parameter's type, unit and limits on one line.
func (p Parameter) String() string {
	parts := []string{p.name + ": " + string(p.kind)}
	if p.unit != "" {
		parts = append(parts, "in "+p.unit)
	}
	if p.required {
		parts = append(parts, "required")
	}
	for _, limit := range []struct {
		label string
		value *Value
	}{{"default", p.defaultValue}, {"at least", p.minimum}, {"at most", p.maximum}} {
		if limit.value != nil {
			parts = append(parts, limit.label+" "+limit.value.String())
		}
	}
	if len(p.allowed) > 0 {
		parts = append(parts, "one of "+strings.Join(p.allowed, ", "))
	}
	return strings.Join(parts, ", ")
}

// Parse parses and validates a template. Errors are prefixed with path; all of
// them are returned together.
func Parse(name, path, text string) (Template, error) {
	var f templateFile
	s, ok := decode(path, text, "deployment", &f)
	if !ok {
		return Template{}, s.err()
	}
	t := Template{name: name, text: text, description: f.Description, bindings: make(map[string]binding)}
	names := make([]string, 0, len(f.Parameters))
	for name := range f.Parameters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.parameters = append(t.parameters, s.parseParameter(name, f.Parameters[name]))
	}
	s.parseBindings(&t, nil, f.Deployment)
	for _, field := range fields {
		if _, ok := t.bindings[field.name]; field.required && !ok {
			s.addErrorf(append(toml.Key{"deployment"}, strings.Split(field.name, ".")...), "is missing")
		}
	}
	s.sort()
	return t, s.err()
}

func (s *source) parseParameter(name string, f parameterFile) Parameter {
	key := toml.Key{"parameters", name}
	p := Parameter{name: name, kind: Type(f.Type), unit: f.Unit, required: f.Required, allowed: f.Allowed}
	if !slices.Contains(types, f.Type) {
		s.addErrorf(append(key, "type"), "%q: want one of %s", f.Type, strings.Join(types, ", "))
		return p
	}
	p.minimum = s.rangeLimit(append(key, "min"), f.Min, p.kind)
	p.maximum = s.rangeLimit(append(key, "max"), f.Max, p.kind)
	p.defaultValue = s.optionalValue(append(key, "default"), f.Default, p.kind)
	if f.Required && f.Default != nil {
		s.addErrorf(append(key, "default"), "a required parameter has no default")
	}
	if !f.Required && f.Default == nil {
		s.addErrorf(key, "want a default, or required = true")
	}
	if p.defaultValue != nil {
		s.checkRange(append(key, "default"), p, *p.defaultValue)
	}
	return p
}

func (s *source) optionalValue(key toml.Key, raw any, kind Type) *Value {
	if raw == nil {
		return nil
	}
	v, err := newValue(raw, kind)
	if err != nil {
		s.addErrorf(key, "%s", err)
		return nil
	}
	return &v
}

func (s *source) rangeLimit(key toml.Key, raw any, kind Type) *Value {
	if raw != nil && kind != TypeNumber && kind != TypeInteger && kind != TypeDuration {
		s.addErrorf(key, "a %s has no range", kind)
		return nil
	}
	return s.optionalValue(key, raw, kind)
}

func (s *source) checkRange(key toml.Key, p Parameter, v Value) {
	unit := ""
	if p.unit != "" {
		unit = " " + p.unit
	}
	if p.minimum != nil && v.magnitude() < p.minimum.magnitude() {
		s.addErrorf(key, "%s%s is below the least, %s", v, unit, p.minimum)
	}
	if p.maximum != nil && v.magnitude() > p.maximum.magnitude() {
		s.addErrorf(key, "%s%s is above the most, %s", v, unit, p.maximum)
	}
	if len(p.allowed) > 0 && !v.isOneOf(p.allowed) {
		s.addErrorf(key, "%s: want one of %s", v, strings.Join(p.allowed, ", "))
	}
}

// parseBindings adds the bindings of the deployment fields in a table, including
// nested tables.
func (s *source) parseBindings(t *Template, table []string, raw map[string]any) {
	for name, value := range raw {
		path := append(slices.Clone(table), name)
		if nested, ok := value.(map[string]any); ok {
			s.parseBindings(t, path, nested)
			continue
		}
		s.parseBinding(t, path, value)
	}
}

func (s *source) parseBinding(t *Template, path []string, value any) {
	key := append(toml.Key{"deployment"}, path...)
	f, ok := findField(strings.Join(path, "."))
	if !ok {
		s.addErrorf(key, "unknown field")
		return
	}
	text, _ := value.(string)
	name, ok := strings.CutPrefix(text, "${")
	if !ok {
		v, err := newValue(value, f.kind)
		if err != nil {
			s.addErrorf(key, "%s", err)
		}
		t.bindings[f.name] = binding{value: v}
		return
	}
	name = strings.TrimSuffix(name, "}")
	t.bindings[f.name] = binding{parameter: name}
	i := slices.IndexFunc(t.parameters, func(p Parameter) bool { return p.name == name })
	if i < 0 {
		s.addErrorf(key, "no parameter %q", name)
		return
	}
	kind := t.parameters[i].kind
	if kind != f.kind && (kind != TypeInteger || f.kind != TypeNumber) {
		s.addErrorf(key, "parameter %s is %s: want %s", name, describeType(kind), describeType(f.kind))
	}
}
