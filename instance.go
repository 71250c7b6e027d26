package hawthornrail

import (
	"fmt"
	"strconv"
	"strings"
)

// Instance is one run of the process on a VM; a restart has a higher
// incarnation.
type Instance struct {
	vm          string
	dataCentre  string
	incarnation uint64
}

// NewInstance returns the instance of a VM in a data centre with an incarnation.
func NewInstance(vm, dataCentre string, incarnation uint64) Instance {
	return Instance{vm: vm, dataCentre: dataCentre, incarnation: incarnation}
}

// VM returns the name of the VM.
func (i Instance) VM() string { return i.vm }

// DataCentre returns the name of the VM's data centre.
func (i Instance) DataCentre() string { return i.dataCentre }

// Incarnation returns the number of the run; later runs have higher numbers.
func (i Instance) Incarnation() uint64 { return i.incarnation }

// IsZero reports whether the instance is the zero value, without a VM.
func (i Instance) IsZero() bool { return i.vm == "" }

// String returns the instance as data_centre.vm.incarnation.
func (i Instance) String() string {
	return i.dataCentre + "." + i.vm + "." + strconv.FormatUint(i.incarnation, 36)
}

// ParseInstance parses what String returns.
func ParseInstance(s string) (Instance, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return Instance{}, fmt.Errorf("instance %q: want data_centre.vm.incarnation", s)
	}
	n, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return Instance{}, fmt.Errorf("instance %q: %w", s, err)
	}
	return NewInstance(parts[1], parts[0], n), nil
}
