package capacity

import (
	_ "embed" // embeds the template of the page
	"fmt"
	"strings"
	"text/template"
)

const (
	secondsPerDay = 86_400.0
	megabyte      = 1 << 20
)

//go:embed page.tmpl
var pageTemplate string

// role is the cost of one function of a VM.
type role struct {
	Name, State, Mechanism, Command string
	Bytes, Core, Memory             float64 // bytes per second, per cent of a core, MB
	Measured, Data                  bool
}

// page holds the data for the template.
type page struct {
	In    Inputs
	Roles []role
	Total role

	Requests, Busy, ProgramsPerVM, EnginesPerGroup float64
	ChooseP99, OrderP99, Decision10, Decision7500  float64
	ReportAge, RefreshMS, ChangesPerSecond         float64
	LedgerMB, HistoryMB, CallSeconds               float64
	CallsPerVM, CallsPerEngine, ChangeSeconds      float64
	ProgramsPerDC, TurnBytes                       float64
}

// calculator looks up measurements and keeps the first error.
type calculator struct {
	measurements Measurements
	err          error
}

func (c *calculator) at(benchmark, unit string, size float64) float64 {
	v, err := c.measurements.At(benchmark, unit, size)
	if c.err == nil {
		c.err = err
	}
	return v
}

// Page renders the page for the inputs and measurements.
func Page(inputs Inputs, measurements Measurements) (string, error) {
	c := &calculator{measurements: measurements}
	p := newPage(inputs, c)
	p.Roles = append(measuredRoles(p, c), pendingRoles(inputs)...)
	for _, r := range p.Roles {
		if r.Measured && !r.Data {
			p.Total.Bytes += r.Bytes
			p.Total.Core += r.Core
			p.Total.Memory += r.Memory
		}
	}
	if c.err != nil {
		return "", c.err
	}
	t, err := template.New("page").Funcs(template.FuncMap{"f": format, "part": percent}).Parse(pageTemplate)
	if err != nil {
		return "", fmt.Errorf("capacity page: %w", err)
	}
	var b strings.Builder
	if err := t.Execute(&b, p); err != nil {
		return "", fmt.Errorf("capacity page: %w", err)
	}
	return b.String(), nil
}

func newPage(inputs Inputs, c *calculator) page {
	s := inputs.Size
	p := page{In: inputs, Requests: s.RequestsPerSecond / s.VMs, ProgramsPerVM: s.Programs / s.VMs}
	p.Busy = p.Requests * s.BusyFactor
	p.EnginesPerGroup = s.Endpoints / s.Models
	p.ChooseP99 = c.at("Choose", "p99-ns", s.Endpoints) / 1000
	p.OrderP99 = c.at("Order", "p99-ns", s.Programs) / 1000
	p.Decision10, p.Decision7500 = c.at("Choose", "ns/op", 10), c.at("Choose", "ns/op", s.Endpoints)
	p.ReportAge = s.Endpoints / inputs.Periods.Polls
	p.RefreshMS = c.at("Refresh", "ns/op", s.Endpoints) / 1e6
	p.ChangesPerSecond = s.ConfigChangesPerDay / secondsPerDay
	p.TurnBytes = (c.at("Ledger", "held-B", s.Turns) - c.at("Ledger", "held-B", 1)) / (s.Turns - 1)
	p.LedgerMB = 2 * p.ProgramsPerVM * c.at("Ledger", "held-B", s.Turns) / megabyte
	p.HistoryMB = 2 * p.ProgramsPerVM * s.HistoryTokens * s.BytesPerToken / megabyte
	p.CallSeconds = s.TokensPerSecond / s.RequestsPerSecond * s.TokenIntervalMS / 1000
	p.CallsPerVM = p.Requests * p.CallSeconds
	p.CallsPerEngine = s.RequestsPerSecond * p.CallSeconds / s.Endpoints
	p.ChangeSeconds = secondsPerDay / (s.VMFailuresPerDay + s.RestartsPerDay)
	p.ProgramsPerDC = s.Programs / s.DataCentres
	return p
}

const measureCommand = "scripts/capacity.sh --measure"

func measuredRoles(p page, c *calculator) []role {
	s, periods := p.In.Size, p.In.Periods
	decision := c.at("Choose", "ns/op", p.EnginesPerGroup) + c.at("Order", "ns/op", p.ProgramsPerVM)
	probe, poll := c.at("Heartbeat", "wire-B/op", s.VMs), c.at("Poll", "wire-B/op", 0)
	roles := []role{
		{
			Name: "queueing and selection of the endpoint", Mechanism: "samples of 16 endpoints each in the local and in the other data centres, and the one with the cache",
			State:  "all endpoints, one hint per program",
			Core:   p.Busy * decision / 1e7,
			Memory: (c.at("Refresh", "held-B", s.Endpoints) + c.at("HintMemory", "held-B", p.ProgramsPerVM)) / megabyte,
		},
		{
			Name: "endpoints of a changed configuration", Mechanism: "the whole list is reloaded at the first request after a change",
			State: "in the row above", Core: p.ChangesPerSecond * p.RefreshMS / 10,
		},
		{
			Name: "engines' load", Mechanism: "round-robin polls at a fixed rate", State: "one report per engine, in the first row",
			Bytes: periods.Polls * poll, Core: periods.Polls * c.at("Poll", "ns/op", 0) / 1e7,
		},
		{
			Name: "membership", Mechanism: "each VM probes one other at a time and relays membership updates", State: "one member per VM",
			// A VM receives as many probes as it sends.
			Bytes: 2 * periods.Probes * probe, Core: periods.Probes * c.at("Heartbeat", "ns/op", s.VMs) / 1e7,
		},
		{
			Name: "record of programs", Mechanism: "trees at home and backup, without their text",
			State: "every program at its full number of turns", Memory: p.LedgerMB,
		},
	}
	for i := range roles {
		roles[i].Measured, roles[i].Command = true, measureCommand
	}
	return roles
}

func pendingRoles(inputs Inputs) []role {
	var roles []role
	for _, p := range inputs.Pending {
		roles = append(roles, role{
			Name: p.Role, State: p.State, Mechanism: p.Mechanism, Command: p.Command, Measured: p.Measured, Data: p.Data,
			Bytes: p.BytesPerSecond, Core: p.CorePercent, Memory: p.MemoryMB,
		})
	}
	return roles
}

// format formats values below 1 with two significant digits, values below 100
// with one decimal and larger values without decimals.
func format(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2g", v)
	}
}

func percent(v, limit float64) string { return fmt.Sprintf("%.0f%%", 100*v/limit) }
