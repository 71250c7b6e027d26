package template

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a parameter or of a deployment field.
type Type string

// The types of parameters and deployment fields.
const (
	TypeString   Type = "string"
	TypeNumber   Type = "number"
	TypeInteger  Type = "integer"
	TypeBoolean  Type = "boolean"
	TypeDuration Type = "duration"
	TypeList     Type = "list"
)

var types = []string{
	string(TypeString), string(TypeNumber), string(TypeInteger), string(TypeBoolean), string(TypeDuration), string(TypeList),
}

// Value is a value of one of the types. Only the field that corresponds to kind
// is set.
type Value struct {
	kind     Type
	text     string
	number   float64
	integer  int64
	boolean  bool
	duration time.Duration
	list     []string
}

// newValue converts a value returned by the TOML decoder to a type.
func newValue(raw any, want Type) (Value, error) {
	v := Value{kind: want}
	ok := false
	switch want {
	case TypeString:
		v.text, ok = raw.(string)
	case TypeNumber:
		v.number, ok = toNumber(raw)
	case TypeInteger:
		v.integer, ok = raw.(int64)
	case TypeBoolean:
		v.boolean, ok = raw.(bool)
	case TypeDuration:
		text, isText := raw.(string)
		d, err := time.ParseDuration(text)
		v.duration, ok = d, isText && err == nil
	case TypeList:
		v.list, ok = toStrings(raw)
	}
	if !ok {
		return v, fmt.Errorf("%s: want %s", formatRaw(raw), describeType(want))
	}
	return v, nil
}

func toNumber(raw any) (float64, bool) {
	switch n := raw.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	default:
		return 0, false
	}
}

func toStrings(raw any) ([]string, bool) {
	items, ok := raw.([]any)
	texts := make([]string, 0, len(items))
	for _, item := range items {
		text, isText := item.(string)
		ok = ok && isText
		texts = append(texts, text)
	}
	return texts, ok
}

func formatRaw(raw any) string {
	if text, ok := raw.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprint(raw)
}

func describeType(t Type) string {
	switch t {
	case TypeDuration:
		return `a duration with a unit, such as "30s"`
	case TypeList:
		return "a list of strings"
	case TypeInteger:
		return "an integer"
	default:
		return "a " + string(t)
	}
}

// String formats the value in TOML syntax.
func (v Value) String() string {
	switch v.kind {
	case TypeString:
		return strconv.Quote(v.text)
	case TypeNumber:
		return strconv.FormatFloat(v.number, 'g', -1, 64)
	case TypeInteger:
		return strconv.FormatInt(v.integer, 10)
	case TypeBoolean:
		return strconv.FormatBool(v.boolean)
	case TypeDuration:
		return strconv.Quote(v.duration.String())
	default:
		quoted := make([]string, 0, len(v.list))
		for _, item := range v.list {
			quoted = append(quoted, strconv.Quote(item))
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
}

// magnitude returns the number that ranges are compared with; for a list it is
// the length.
func (v Value) magnitude() float64 {
	switch v.kind {
	case TypeNumber:
		return v.number
	case TypeInteger:
		return float64(v.integer)
	case TypeDuration:
		return float64(v.duration)
	default:
		return float64(len(v.list))
	}
}

// isOneOf reports whether the value, or every item of a list, is in allowed.
func (v Value) isOneOf(allowed []string) bool {
	texts := v.list
	if v.kind != TypeList {
		texts = []string{strings.Trim(v.String(), `"`)}
	}
	for _, text := range texts {
		if !slices.Contains(allowed, text) {
			return false
		}
	}
	return true
}
