package template

import (
	"fmt"
	"slices"

	hawthornrail "hawthornrail.example/hawthornrail"
)

// Reason is the code of a finding. An operator may allow findings by their code.
type Reason string

// The reasons of findings.
const (
	ReasonUnknownModel   Reason = "unknown_model"
	ReasonUnknownService Reason = "unknown_service"
	ReasonOverCapacity   Reason = "over_capacity"
	ReasonNoWorkingKey   Reason = "no_working_key"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonUnknownModel, ReasonUnknownService, ReasonOverCapacity, ReasonNoWorkingKey}
}

// Finding is a problem that the whole configuration would have after a change.
type Finding struct {
	Reason  Reason `json:"reason"`
	Message string `json:"message"`
}

// Check returns the problems that a change introduces into the configuration.
// capacity is in requests per second, or 0 when none is stated.
func Check(before, after *hawthornrail.Snapshot, capacity float64) []Finding {
	var findings []Finding
	for _, d := range after.Deployments() {
		if old, ok := before.Deployment(d.Name()); ok && old.Version() == d.Version() {
			continue
		}
		for _, model := range d.Models() {
			if !hasEndpoint(after, hawthornrail.EngineEndpoint, model) {
				findings = append(findings, Finding{ReasonUnknownModel, fmt.Sprintf("deployment %s: no endpoint serves model %q", d.Name(), model)})
			}
		}
		for _, service := range d.Services() {
			if !hasEndpoint(after, hawthornrail.ServiceEndpoint, service) {
				findings = append(findings, Finding{ReasonUnknownService, fmt.Sprintf("deployment %s: no endpoint serves service %q", d.Name(), service)})
			}
		}
	}
	if sum := sumRates(after); capacity > 0 && sum > capacity && sum > sumRates(before) {
		findings = append(findings, Finding{ReasonOverCapacity, fmt.Sprintf("the rates sum to %g requests/s, the stated capacity is %g", sum, capacity)})
	}
	for _, team := range teamsWithKey(before) {
		if !slices.Contains(teamsWithKey(after), team) {
			findings = append(findings, Finding{ReasonNoWorkingKey, fmt.Sprintf("team %s would have no working key", team)})
		}
	}
	return findings
}

func hasEndpoint(s *hawthornrail.Snapshot, kind hawthornrail.EndpointKind, target string) bool {
	return slices.ContainsFunc(s.Endpoints(), func(e hawthornrail.Endpoint) bool {
		return e.Kind() == kind && slices.Contains(e.Serves(), target)
	})
}

func sumRates(s *hawthornrail.Snapshot) float64 {
	sum := 0.0
	for _, d := range s.Deployments() {
		sum += d.Rate()
	}
	return sum
}

// teamsWithKey returns the teams that have a key of an existing deployment that
// is not revoked.
func teamsWithKey(s *hawthornrail.Snapshot) []string {
	var teams []string
	for _, k := range s.Keys() {
		if d, ok := s.Deployment(k.Deployment()); ok && !k.Revoked() {
			teams = append(teams, d.Team())
		}
	}
	slices.Sort(teams)
	return slices.Compact(teams)
}
