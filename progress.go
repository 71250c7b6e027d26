package hawthornrail

import "slices"

// ForwardProgress is what the sends of one request have shown so far; it goes along
// with a request that another VM sends on.
type ForwardProgress struct {
	sends int
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// possibleRuns are the endpoints that may have run the request and count
	// against the route's attempts; those that have ended do not.
	possibleRuns []string
	// unknownRuns counts the times that another VM may have had the request run by an
	// endpoint that it could not name.
	unknownRuns int
	// excluded are the endpoints that are not tried again.
	excluded []string
	// nextEndpoint is the endpoint that must be tried next, if any.
	nextEndpoint string
	// version is the only one that may go on with the stream, once versioned is set:
	// the one that wrote the events which the caller has.
	version   string
	versioned bool
	lastEvent string
}

// NewForwardProgress returns the progress of a request that was not sent yet;
// lastEvent is the id of the last event that its caller has received.
func NewForwardProgress(lastEvent string) ForwardProgress {
	return ForwardProgress{lastEvent: lastEvent}
}

// CountSend counts a send.
func (p *ForwardProgress) CountSend() { p.sends++ }

// SetSends sets the number of sends, including those that an endpoint refused.
func (p *ForwardProgress) SetSends(sends int) { p.sends = sends }

// Sends returns the number of sends, including those that an endpoint refused.
func (p *ForwardProgress) Sends() int { return p.sends }

// SetMayHaveRun records that an endpoint may have run the request.
func (p *ForwardProgress) SetMayHaveRun() { p.mayHaveRun = true }

// MayHaveRun reports whether an endpoint may have run the request.
func (p *ForwardProgress) MayHaveRun() bool { return p.mayHaveRun }

// AddPossibleRun counts an endpoint against the attempts of the request's route; once
// they are used up, only the same endpoint may run the request again.
func (p *ForwardProgress) AddPossibleRun(endpoint string, attempts int) {
	if !slices.Contains(p.possibleRuns, endpoint) {
		p.possibleRuns = append(p.possibleRuns, endpoint)
	}
	if len(p.possibleRuns)+p.unknownRuns >= attempts {
		p.nextEndpoint = endpoint
		return
	}
	p.Exclude(endpoint)
}

// AddUnknownRun counts a run at an unknown endpoint against the attempts of the
// request's route.
func (p *ForwardProgress) AddUnknownRun() { p.unknownRuns++ }

// SetUnknownRuns sets the number of runs at unknown endpoints.
func (p *ForwardProgress) SetUnknownRuns(count int) { p.unknownRuns = count }

// UnknownRuns returns the number of runs at unknown endpoints.
func (p *ForwardProgress) UnknownRuns() int { return p.unknownRuns }

// Exhausted reports whether the attempts of a route are used up and no endpoint is
// known that may run the request again.
func (p *ForwardProgress) Exhausted(attempts int) bool {
	return p.unknownRuns > 0 && len(p.possibleRuns)+p.unknownRuns >= attempts
}

// MayRunElsewhere reports whether the attempts of a route allow another endpoint to run the
// request after the one that runs it now.
func (p *ForwardProgress) MayRunElsewhere(attempts int) bool {
	return len(p.possibleRuns)+p.unknownRuns+1 < attempts
}

// PossibleRuns returns the endpoints that count against the route's attempts.
func (p *ForwardProgress) PossibleRuns() []string { return p.possibleRuns }

// SetPossibleRuns sets the endpoints that count against the route's attempts.
func (p *ForwardProgress) SetPossibleRuns(endpoints []string) { p.possibleRuns = endpoints }

// Exclude excludes an endpoint from further sends.
func (p *ForwardProgress) Exclude(endpoint string) { p.excluded = append(p.excluded, endpoint) }

// Excluded returns the endpoints that are not tried again.
func (p *ForwardProgress) Excluded() []string { return p.excluded }

// SetExcluded sets the endpoints that are not tried again.
func (p *ForwardProgress) SetExcluded(endpoints []string) { p.excluded = endpoints }

// SetNextEndpoint sets the endpoint that must be tried next, or none if it is empty.
func (p *ForwardProgress) SetNextEndpoint(endpoint string) { p.nextEndpoint = endpoint }

// NextEndpoint returns the endpoint that must be tried next, or an empty string.
func (p *ForwardProgress) NextEndpoint() string { return p.nextEndpoint }

// KeepVersion restricts the request to endpoints of a version from now on.
func (p *ForwardProgress) KeepVersion(version string) { p.version, p.versioned = version, true }

// Version returns the version that the request is restricted to, if it is.
func (p *ForwardProgress) Version() (version string, restricted bool) {
	return p.version, p.versioned
}

// SetLastEvent sets the id of the last event that the caller has received.
func (p *ForwardProgress) SetLastEvent(id string) { p.lastEvent = id }

// LastEvent returns the id of the last event that the caller has received, or an
// empty string.
func (p *ForwardProgress) LastEvent() string { return p.lastEvent }
