package model

// Size is a user's fleet and mix of programs.
type Size struct {
	name         string
	engines      int
	dataCentres  int
	vms          int
	zoneDelay    float64 // seconds one way
	clientDelay  float64 // seconds one way
	longShare    float64
	shortTurns   float64
	longTurns    float64
	subAgentRate float64
}

// Name returns the user's name.
func (s Size) Name() string { return s.name }

// WithVMs returns a copy with another number of VMs that decide.
func (s Size) WithVMs(vms int) Size {
	s.vms = vms
	return s
}

// Cordillera returns ten workers and eight VMs in three data centres.
func Cordillera() Size {
	return Size{
		name: "cordillera", engines: 10, dataCentres: 3, vms: 8, zoneDelay: 0.004, clientDelay: 0.001,
		longShare: 0.3, shortTurns: 3, longTurns: 16, subAgentRate: 0.1,
	}
}

// Verhaeghe returns ten workers and eight VMs in three data centres.
func Verhaeghe() Size {
	return Size{
		name: "verhaeghe", engines: 10, dataCentres: 3, vms: 8, zoneDelay: 0.005, clientDelay: 0.003,
		longShare: 0.4, shortTurns: 5, longTurns: 14, subAgentRate: 0.05,
	}
}

// VerhaegheLarge returns Verhaeghe's mix on thirty-five workers.
func VerhaegheLarge() Size {
	s := Verhaeghe()
	s.name, s.engines = "verhaeghe-35", 35
	return s
}

// An engine: a model of about eight billion parameters on an accelerator of
// 80 GB, of which 50 GB hold the KV cache in 8 bits, at 64 KiB a token.
const (
	engineSlots      = 48
	cacheTokens      = 800_000
	prefillPerSecond = 12_000.0
	prefillChunk     = 512.0  // prompt tokens a step beside the decoding batch
	stepBase         = 0.015  // seconds
	stepPerSequence  = 0.0004 // seconds
)

// What engines publish.
const (
	pollsPerSecond = 2.0 // by each VM, over all engines
	eventDelay     = 1.0 // seconds
	eventLoss      = 0.2
	connectTimeout = 1.0 // seconds
	healthCheck    = 5.0 // seconds until a plain balancer drops a lost engine
)

// Sizes of a program's parts: the median and the spread of a log-normal
// distribution, with a bound.
const (
	firstPromptMedian = 1500.0
	firstPromptSpread = 0.6
	turnPromptMedian  = 400.0
	turnPromptSpread  = 1.0
	maxTurnPrompt     = 20_000.0
	completionMedian  = 200.0
	completionSpread  = 0.8
	maxCompletion     = 2000.0
	pauseMedian       = 1.5 // seconds
	pauseSpread       = 1.2
	maxPause          = 120.0 // seconds
	longTurnsSpread   = 0.8
	maxTurns          = 130
	maxHistory        = 210_000
)

// Teams and their rates.
const (
	greedyTeam    = 3
	greedyFactor  = 4.0
	rateHeadroom  = 1.5
	burstSeconds  = 10.0
	maxComeBacks  = 5
	rateSpread    = 2.0 // seconds
	drainFactor   = 3.0
	fullStep      = stepBase + stepPerSequence*engineSlots
	decodeSeconds = fullStep / engineSlots // engine seconds a token in a full batch
)

func demandShares() []float64 {
	return []float64{0.35, 0.25, 0.15, 0.08, 0.06, 0.05, 0.04, 0.02}
}
