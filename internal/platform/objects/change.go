package objects

import "encoding/json"

// KindChange is the kind of the object that puts several objects in force
// with one write; there is one, named ChangeName.
const KindChange = "change"

// ChangeName is the name of the object with the latest change.
const ChangeName = "latest"

// Change is the value of an object whose parts come into force together, at
// the version of the change. Each part is then copied to its own object, and
// the change is emptied; until then nobody may delete one of its parts.
type Change struct {
	ID      string         `json:"id"`
	Reason  string         `json:"reason"`
	Earlier []string       `json:"earlier"`
	Objects []ChangeObject `json:"objects"`
}

// ChangeObject is one part of a change and the version that it replaces.
type ChangeObject struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Base    uint64          `json:"base"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}
