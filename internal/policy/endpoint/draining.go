package endpoint

// maxDraining is the maximum number of draining endpoints that are remembered.
const maxDraining = 4096

// drainingSet contains the endpoints that have reported that they are draining.
// An outdated list of endpoints may still contain them as ready.
type drainingSet struct {
	names map[string]bool
	order []string
}

func newDrainingSet() *drainingSet { return &drainingSet{names: make(map[string]bool)} }

// add adds an endpoint and reports whether it is new. It removes the oldest entry
// if there are maxDraining.
func (d *drainingSet) add(name string) bool {
	if d.names[name] {
		return false
	}
	if len(d.order) == maxDraining {
		delete(d.names, d.order[0])
		d.order = d.order[1:]
	}
	d.names[name] = true
	d.order = append(d.order, name)
	return true
}

func (d *drainingSet) has(name string) bool { return d.names[name] }
