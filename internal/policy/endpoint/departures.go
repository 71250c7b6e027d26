package endpoint

// maxDepartures bounds the endpoints that are remembered after they have said
// that they leave.
const maxDepartures = 4096

// departures are the endpoints that have said that they are leaving. A list of
// endpoints that is behind may still name them as ready.
type departures struct {
	names map[string]bool
	order []string
}

func newDepartures() *departures { return &departures{names: make(map[string]bool)} }

// add reports whether an endpoint was not known to leave; it forgets the one
// that was known for longest if there are too many.
func (d *departures) add(name string) bool {
	if d.names[name] {
		return false
	}
	if len(d.order) == maxDepartures {
		delete(d.names, d.order[0])
		d.order = d.order[1:]
	}
	d.names[name] = true
	d.order = append(d.order, name)
	return true
}

func (d *departures) has(name string) bool { return d.names[name] }
