package detour

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// requestToWire returns the message of an identified request that has left until its
// deadline, or 0 if it has none.
func requestToWire(r *hawthornrail.ForwardRequest, service string, left time.Duration, p *hawthornrail.ForwardProgress) *vmpb.Detour {
	route := r.Route()
	return &vmpb.Detour{
		RequestId: []byte(r.ID()), Method: []byte(r.Method()), Host: []byte(r.Host()), Uri: []byte(r.URI()), Path: []byte(r.Path()),
		Headers: headersToWire(r.Headers()), Body: r.Body(), LeftMs: left.Milliseconds(),
		Team: r.Deployment().Team(), Service: service, Program: []byte(r.Call().Program()),
		PromptTokens: uint64(r.Prompt().Tokens()), MaxOutputTokens: uint64(r.Prompt().MaxOutput()),
		Route: route.Name(), RouteKind: string(route.Kind()), Resumable: route.Resumable(), Attempts: uint32(route.Attempts()),
		Progress: progressToWire(p), ChainBytes: uint64(r.ChainBytes()),
	}
}

// requestFromWire returns the request of a message. Its route and team are those that
// the sender found, so that one request runs under a single configuration.
func requestFromWire(m *vmpb.Detour, now time.Time) *hawthornrail.ForwardRequest {
	r := hawthornrail.NewForwardRequest(string(m.GetMethod()), string(m.GetHost()), string(m.GetUri()), string(m.GetPath()), m.GetBody(), now)
	r.SetBody(m.GetBody(), int(min(m.GetChainBytes(), uint64(len(m.GetBody())))))
	r.SetID(string(m.GetRequestId()))
	r.SetHeaders(headersFromWire(m.GetHeaders()))
	if m.GetLeftMs() > 0 {
		r.SetDeadline(now.Add(time.Duration(m.GetLeftMs()) * time.Millisecond))
	}
	r.SetCall(hawthornrail.NewProgramCall(string(m.GetProgram()), "", 0))
	r.SetPrompt(hawthornrail.NewPrompt(int(m.GetPromptTokens()), int(m.GetMaxOutputTokens()), nil))
	r.Identify(hawthornrail.NewDeployment("", m.GetTeam(), 0))
	route := hawthornrail.NewRoute(m.GetRoute(), string(m.GetHost()), "", hawthornrail.RouteKind(m.GetRouteKind()), nil)
	r.Match(route.WithResumable(m.GetResumable()).WithAttempts(int(m.GetAttempts())), 0)
	return r
}

func headersToWire(headers []hawthornrail.Header) []*vmpb.HeaderField {
	converted := make([]*vmpb.HeaderField, 0, len(headers))
	for _, h := range headers {
		converted = append(converted, &vmpb.HeaderField{Name: []byte(h.Name()), Value: []byte(h.Value())})
	}
	return converted
}

func headersFromWire(fields []*vmpb.HeaderField) []hawthornrail.Header {
	converted := make([]hawthornrail.Header, 0, len(fields))
	for _, f := range fields {
		converted = append(converted, hawthornrail.NewHeader(string(f.GetName()), string(f.GetValue())))
	}
	return converted
}

func progressToWire(p *hawthornrail.ForwardProgress) *vmpb.Progress {
	version, versioned := p.Version()
	return &vmpb.Progress{
		Sends: uint32(p.Sends()), MayHaveRun: p.MayHaveRun(), PossibleRuns: p.PossibleRuns(), Excluded: p.Excluded(),
		UnknownRuns: uint32(p.UnknownRuns()), NextEndpoint: p.NextEndpoint(), Version: version, Versioned: versioned, LastEvent: []byte(p.LastEvent()),
	}
}

// progressFromWire adds what a message tells to a progress; what has been known does
// not become unknown.
func progressFromWire(m *vmpb.Progress, p *hawthornrail.ForwardProgress) {
	p.SetSends(max(p.Sends(), int(m.GetSends())))
	if m.GetMayHaveRun() {
		p.SetMayHaveRun()
	}
	p.SetUnknownRuns(max(p.UnknownRuns(), int(m.GetUnknownRuns())))
	p.SetPossibleRuns(m.GetPossibleRuns())
	p.SetExcluded(m.GetExcluded())
	p.SetNextEndpoint(m.GetNextEndpoint())
	if m.GetVersioned() {
		p.KeepVersion(m.GetVersion())
	}
	if len(m.GetLastEvent()) > 0 {
		p.SetLastEvent(string(m.GetLastEvent()))
	}
}
