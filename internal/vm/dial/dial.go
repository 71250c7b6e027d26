package dial

import (
	"context"
	"fmt"
	"net"
	"time"
)

const dialTimeout = time.Second

// Dialer connects over TCP; it implements hawthornrail.Dialer.
type Dialer struct {
	routes map[string]string
}

// New returns a dialer; routes replaces addresses, so that tests can put
// relays before them.
func New(routes map[string]string) *Dialer {
	return &Dialer{routes: routes}
}

// Dial connects to an address, or to the one that replaces it.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if route, ok := d.routes[address]; ok {
		address = route
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}
