package objects

import "encoding/json"

// KindChange is the kind of the object that puts several objects in force with
// one write; there is only one such object, named ChangeName.
const KindChange = "change"

// ChangeName is the name of the object with the latest change.
const ChangeName = "latest"

// Kinds that VMs do not hold, because only operators use them.
const (
	KindTemplate = "template"
	KindHistory  = "history"
	KindCapacity = "capacity"
)

// CapacityName is the name of the only object of its kind.
const CapacityName = "fleet"

// Template is the value of a template object: the text of the template file.
type Template struct {
	Text string `json:"text"`
}

// Capacity is the value of the object that states what the fleet can serve.
type Capacity struct {
	RatePerSecond float64 `json:"rate_per_second"`
}

// History is the value of an object that keeps the last versions of a
// deployment.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// HistoryEntry is one accepted version of a deployment; numbers increase from
// 1.
type HistoryEntry struct {
	Number       uint64     `json:"number"`
	Change       string     `json:"change"`
	Version      uint64     `json:"version"`
	AcceptedUnix int64      `json:"accepted_unix_ms"`
	Reason       string     `json:"reason,omitempty"`
	Value        Deployment `json:"value"`
}

// HeldByVMs reports whether VMs hold objects of a kind.
func HeldByVMs(kind string) bool {
	switch kind {
	case KindDeployment, KindKey, KindEndpoint, KindVM, KindRoute, KindChange:
		return true
	default:
		return false
	}
}

// Change is the value of an object whose parts come into force together, at the
// version of the change. Each part is then copied to its own object, and the
// change is emptied; until then none of its parts may be deleted.
type Change struct {
	ID       string         `json:"id"`
	Reason   string         `json:"reason"`
	UnixMS   int64          `json:"unix_ms"`
	Names    []string       `json:"names,omitempty"`
	Previous []string       `json:"earlier"`
	Objects  []ChangeObject `json:"objects"`
}

// ChangeObject is one part of a change and the version that it replaces.
type ChangeObject struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Base    uint64          `json:"base"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}
