package template

import (
	"strings"
	"time"

	"hawthornrail.example/hawthornrail/internal/platform/objects"
)

// Print formats a deployment with one field per line, in a fixed order.
func Print(d objects.Deployment) string {
	var b strings.Builder
	for _, f := range fields {
		b.WriteString(f.name + " = " + f.value(d).String() + "\n")
	}
	return b.String()
}

// Diff returns the fields that differ, old values prefixed with "-" and new
// values with "+". If before is nil, the deployment is new and every field is
// listed.
func Diff(before *objects.Deployment, after objects.Deployment) []string {
	var lines []string
	for _, f := range fields {
		newText := f.value(after).String()
		if before == nil {
			lines = append(lines, "+ "+f.name+" = "+newText)
			continue
		}
		if oldText := f.value(*before).String(); oldText != newText {
			lines = append(lines, "- "+f.name+" = "+oldText, "+ "+f.name+" = "+newText)
		}
	}
	return lines
}

// value returns the value of the field in a deployment.
func (f field) value(d objects.Deployment) Value {
	v := Value{kind: f.kind}
	switch f.name {
	case "team":
		v.text = d.Team
	case "rate_per_second":
		v.number = d.RatePerSecond
	case "burst":
		v.number = d.Burst
	case "priority":
		v.integer = int64(d.Priority)
	case "models":
		v.list = d.Models
	case "services":
		v.list = d.Services
	case "when_cut_off":
		v.text = d.WhenStale
	case "stale_after":
		v.duration = time.Duration(d.StaleAfterMS) * time.Millisecond
	case "budget.calls":
		v.integer = int64(d.Budget.Calls)
	case "budget.tokens":
		v.integer = int64(d.Budget.Tokens)
	case "budget.wall_time":
		v.duration = time.Duration(d.Budget.WallTimeMS) * time.Millisecond
	case "budget.depth":
		v.integer = int64(d.Budget.Depth)
	case "budget.children":
		v.integer = int64(d.Budget.Children)
	}
	return v
}
