package hawthornrail

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrHelperRefused means that a VM takes no request of another one, because it is
// draining, busy or cut off itself; the request did not run.
var ErrHelperRefused = errors.New("VM takes no request of another VM")

// ErrHelperLost means that the connection to another VM ended before it told the end of
// a request; an endpoint may have run it.
var ErrHelperLost = errors.New("VM in between was lost")

// Detour sends requests to endpoints through other VMs, when this one reaches none.
type Detour interface {
	// Find asks other VMs whether they reach endpoints of a service; denials is how
	// many replied that they do not. A VM that had no contact within a time tries to
	// connect to an endpoint.
	Find(ctx context.Context, service string, within time.Duration) (helpers []VM, denials int)
	// Open sends a request to an endpoint of a service through a VM and returns once
	// its response has begun. It updates the progress, also if it returns a Failure;
	// one that wraps ErrHelperRefused says nothing about the endpoints.
	Open(ctx context.Context, helper VM, service string, r *ForwardRequest, p *ForwardProgress) (DetourResponse, error)
}

// DetourResponse is a response that arrives through another VM; a read returns io.EOF
// only if it is complete.
type DetourResponse interface {
	io.Reader
	// Status returns the HTTP status.
	Status() int
	// Headers returns the header fields.
	Headers() []Header
	// ContentType returns the media type.
	ContentType() string
	// Version returns the version of the software that wrote the response.
	Version() string
	// Close cancels the request unless its response has ended.
	Close()
}

// DetourHandler sends the requests of other VMs to endpoints.
type DetourHandler interface {
	// ForwardFor sends a request to an endpoint of a service, and never to another VM.
	// It updates the progress, also if it returns a Failure.
	ForwardFor(ctx context.Context, r *ForwardRequest, service string, p *ForwardProgress) (*ForwardResponse, error)
}

// Contact knows whether this VM reaches the endpoints of a service.
type Contact interface {
	// Reached reports whether an endpoint of a service was heard within a time, or
	// accepts a connection now.
	Reached(ctx context.Context, service string, within time.Duration) bool
	// CutOff reports whether the service was found to be out of reach.
	CutOff(service string) bool
}
