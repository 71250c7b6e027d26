package hawthornrail

import (
	"maps"
	"slices"
	"time"
)

// withdrawalRetention is how long a withdrawn evacuation is remembered; it far exceeds
// the time for which endpoints are cold.
const withdrawalRetention = 10 * time.Minute

// Evacuation requests that no request be sent to the endpoints of a data centre.
type Evacuation struct {
	dataCentre string
	revision   uint64
}

// NewEvacuation returns the evacuation of a data centre at the revision of its object.
func NewEvacuation(dataCentre string, revision uint64) Evacuation {
	return Evacuation{dataCentre: dataCentre, revision: revision}
}

// DataCentre returns the data centre whose endpoints receive no requests.
func (e Evacuation) DataCentre() string { return e.dataCentre }

// Revision returns the revision of the evacuation's object in the platform's store.
func (e Evacuation) Revision() uint64 { return e.revision }

// Withdrawal is the end of the evacuation of a data centre, as a VM has learnt of it.
type Withdrawal struct {
	at       time.Time
	revision uint64
}

// At returns when the VM learnt that the evacuation was withdrawn.
func (w Withdrawal) At() time.Time { return w.at }

// Revision returns the revision of the platform's store at which the VM saw no
// evacuation any more.
func (w Withdrawal) Revision() uint64 { return w.revision }

// Evacuations are the evacuations in force on a VM at one moment, and those that were
// withdrawn lately; the zero value holds none. It is immutable.
type Evacuations struct {
	inForce   map[string]Evacuation
	withdrawn map[string]Withdrawal
}

// Next returns the evacuations once those of a list are in force at a revision of the
// platform's store.
func (e Evacuations) Next(list []Evacuation, revision uint64, now time.Time) Evacuations {
	next := Evacuations{inForce: make(map[string]Evacuation, len(list)), withdrawn: make(map[string]Withdrawal)}
	for _, v := range list {
		next.inForce[v.dataCentre] = v
	}
	for dataCentre, w := range e.withdrawn {
		if !next.Evacuated(dataCentre) && now.Sub(w.at) < withdrawalRetention {
			next.withdrawn[dataCentre] = w
		}
	}
	for dataCentre := range e.inForce {
		if !next.Evacuated(dataCentre) {
			next.withdrawn[dataCentre] = Withdrawal{at: now, revision: revision}
		}
	}
	return next
}

// Evacuated reports whether no request may be sent to the endpoints of a data centre.
func (e Evacuations) Evacuated(dataCentre string) bool {
	_, ok := e.inForce[dataCentre]
	return ok
}

// InForce returns the evacuations in force, sorted by data centre.
func (e Evacuations) InForce() []Evacuation {
	list := make([]Evacuation, 0, len(e.inForce))
	for _, dataCentre := range slices.Sorted(maps.Keys(e.inForce)) {
		list = append(list, e.inForce[dataCentre])
	}
	return list
}

// Withdrawn returns the last withdrawal of an evacuation of a data centre that is not
// evacuated.
func (e Evacuations) Withdrawn(dataCentre string) (Withdrawal, bool) {
	w, ok := e.withdrawn[dataCentre]
	return w, ok
}
