package capacity

import (
	_ "embed" // the page's template
	"fmt"
	"strings"
	"text/template"
)

const (
	secondsPerDay = 86_400.0
	megabyte      = 1 << 20
)

//go:embed page.tmpl
var pageText string

// role is what one part of a VM costs.
type role struct {
	Name, State, Mechanism, Command string
	Bytes, Core, Memory             float64 // bytes a second, per cent, MB
	Measured, Data                  bool
}

// page is everything that the template shows.
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

// calculator looks figures up and keeps the first error.
type calculator struct {
	m   Measurements
	err error
}

func (c *calculator) at(benchmark, unit string, size float64) float64 {
	v, err := c.m.At(benchmark, unit, size)
	if c.err == nil {
		c.err = err
	}
	return v
}

// Page returns the page for the inputs and measurements.
func Page(in Inputs, m Measurements) (string, error) {
	c := &calculator{m: m}
	p := figures(in, c)
	p.Roles = append(roles(p, c), pending(in)...)
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
	t, err := template.New("page").Funcs(template.FuncMap{"f": format, "part": part}).Parse(pageText)
	if err != nil {
		return "", fmt.Errorf("capacity page: %w", err)
	}
	var b strings.Builder
	if err := t.Execute(&b, p); err != nil {
		return "", fmt.Errorf("capacity page: %w", err)
	}
	return b.String(), nil
}

func figures(in Inputs, c *calculator) page {
	s := in.Size
	p := page{In: in, Requests: s.RequestsPerSecond / s.VMs, ProgramsPerVM: s.Programs / s.VMs}
	p.Busy = p.Requests * s.BusyFactor
	p.EnginesPerGroup = s.Endpoints / s.Models
	p.ChooseP99 = c.at("Choose", "p99-ns", s.Endpoints) / 1000
	p.OrderP99 = c.at("Order", "p99-ns", s.Programs) / 1000
	p.Decision10, p.Decision7500 = c.at("Choose", "ns/op", 10), c.at("Choose", "ns/op", s.Endpoints)
	p.ReportAge = s.Endpoints / in.Periods.Polls
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

func roles(p page, c *calculator) []role {
	s, periods := p.In.Size, p.In.Periods
	decision := c.at("Choose", "ns/op", p.EnginesPerGroup) + c.at("Order", "ns/op", p.ProgramsPerVM)
	probe, poll := c.at("Heartbeat", "wire-B/op", s.VMs), c.at("Poll", "wire-B/op", 0)
	list := []role{
		{
			Name: "order and choice of endpoint", Mechanism: "a sample of 16 endpoints a data centre side, and the one with the cache",
			State:  "all endpoints, a hint a program",
			Core:   p.Busy * decision / 1e7,
			Memory: (c.at("Refresh", "held-B", s.Endpoints) + c.at("HintMemory", "held-B", p.ProgramsPerVM)) / megabyte,
		},
		{
			Name: "endpoints of a changed configuration", Mechanism: "the whole list is read again at the first request after a change",
			State: "in the row above", Core: p.ChangesPerSecond * p.RefreshMS / 10,
		},
		{
			Name: "engines' load", Mechanism: "polls in turn at a fixed rate", State: "a report an engine, in the first row",
			Bytes: periods.Polls * poll, Core: periods.Polls * c.at("Poll", "ns/op", 0) / 1e7,
		},
		{
			Name: "membership", Mechanism: "each VM probes one other at a time and passes news on", State: "a member a VM",
			// A VM is probed as often as it probes.
			Bytes: 2 * periods.Probes * probe, Core: periods.Probes * c.at("Heartbeat", "ns/op", s.VMs) / 1e7,
		},
		{
			Name: "record of programs", Mechanism: "trees at home and backup, without their text",
			State: "every program at its full number of turns", Memory: p.LedgerMB,
		},
	}
	for i := range list {
		list[i].Measured, list[i].Command = true, measureCommand
	}
	return list
}

func pending(in Inputs) []role {
	var list []role
	for _, p := range in.Pending {
		list = append(list, role{
			Name: p.Role, State: p.State, Mechanism: p.Mechanism, Command: p.Command, Measured: p.Measured, Data: p.Data,
			Bytes: p.BytesPerSecond, Core: p.CorePercent, Memory: p.MemoryMB,
		})
	}
	return list
}

// format shows two significant digits of small figures and none of the
// fraction of large ones.
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

func part(v, limit float64) string { return fmt.Sprintf("%.0f%%", 100*v/limit) }
