package capacity

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// Inputs holds the sizes, limits and figures from which the page is
// calculated.
type Inputs struct {
	Size    Size      `toml:"size"`
	Limits  Limits    `toml:"limits"`
	Periods Periods   `toml:"periods"`
	Pending []Pending `toml:"pending"`
}

// Size is the size of the fleet that the design targets.
type Size struct {
	VMs                 float64 `toml:"vms"`
	Endpoints           float64 `toml:"endpoints"`
	RequestsPerSecond   float64 `toml:"requests_per_second"`
	TokensPerSecond     float64 `toml:"tokens_per_second"`
	TokenIntervalMS     float64 `toml:"token_interval_ms"`
	Programs            float64 `toml:"programs"`
	Turns               float64 `toml:"turns"`
	HistoryTokens       float64 `toml:"history_tokens"`
	Teams               float64 `toml:"teams"`
	Models              float64 `toml:"models"`
	DataCentres         float64 `toml:"data_centres"`
	ConfigChangesPerDay float64 `toml:"config_changes_per_day"`
	VMFailuresPerDay    float64 `toml:"vm_failures_per_day"`
	RestartsPerDay      float64 `toml:"restarts_per_day"`
	BusyFactor          float64 `toml:"busy_factor"`
	BytesPerToken       float64 `toml:"bytes_per_token"`
}

// Limits are the resources that a VM and the platform may use.
type Limits struct {
	CorePercent    float64 `toml:"core_percent"`
	MemoryMB       float64 `toml:"memory_mb"`
	BytesPerSecond float64 `toml:"bytes_per_second"`
	PlatformWrites float64 `toml:"platform_writes_per_second"`
	PlatformReads  float64 `toml:"platform_reads_per_second"`
}

// Periods are the rates of a VM's periodic messages.
type Periods struct {
	Probes float64 `toml:"probes_per_second"`
	Polls  float64 `toml:"polls_per_second"`
}

// Pending is a role whose cost is measured elsewhere or not measured yet. Data
// traffic is listed with control traffic but excluded from its sum.
type Pending struct {
	Role           string  `toml:"role"`
	Mechanism      string  `toml:"mechanism"`
	State          string  `toml:"state"`
	Measured       bool    `toml:"measured"`
	Data           bool    `toml:"data"`
	BytesPerSecond float64 `toml:"bytes_per_second"`
	CorePercent    float64 `toml:"core_percent"`
	MemoryMB       float64 `toml:"memory_mb"`
	Command        string  `toml:"command"`
}

// LoadInputs reads the inputs file.
func LoadInputs(path string) (Inputs, error) {
	var in Inputs
	if _, err := toml.DecodeFile(path, &in); err != nil {
		return in, fmt.Errorf("capacity inputs: %w", err)
	}
	return in, nil
}
