package model

// Size describes a user's fleet and mix of programs.
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

// WithVMs returns a copy with vms VMs that schedule calls.
func (s Size) WithVMs(vms int) Size {
	s.vms = vms
	return s
}

// Cordillera returns ten engines and eight VMs in three data centres.
func Cordillera() Size {
	return Size{
		name: "cordillera", engines: 10, dataCentres: 3, vms: 8, zoneDelay: 0.004, clientDelay: 0.001,
		longShare: 0.3, shortTurns: 3, longTurns: 16, subAgentRate: 0.1,
	}
}

// Verhaeghe returns ten engines and eight VMs in three data centres.
func Verhaeghe() Size {
	return Size{
		name: "verhaeghe", engines: 10, dataCentres: 3, vms: 8, zoneDelay: 0.005, clientDelay: 0.003,
		longShare: 0.4, shortTurns: 5, longTurns: 14, subAgentRate: 0.05,
	}
}

// VerhaegheLarge returns Verhaeghe's mix on thirty-five engines.
func VerhaegheLarge() Size {
	s := Verhaeghe()
	s.name, s.engines = "verhaeghe-35", 35
	return s
}

// Parameters of an engine: a model of about eight billion parameters on an
// accelerator with 80 GB, of which 50 GB hold the KV cache, in 8 bits and at
// 64 KiB per token.
const (
	engineSlots      = 48
	cacheTokens      = 800_000
	prefillPerSecond = 12_000.0
	prefillChunk     = 512.0  // prompt tokens per step in addition to the decoding batch
	stepBase         = 0.015  // seconds
	stepPerSequence  = 0.0004 // seconds
)

// Load polls, cache events and detection of failed engines.
const (
	pollsPerSecond   = 2.0 // per VM, over all engines
	eventDelay       = 1.0 // seconds
	eventLoss        = 0.2
	connectTimeout   = 1.0 // seconds
	healthCheckDelay = 5.0 // seconds until a baseline balancer removes a failed engine
)

// Program sizes: medians and spreads of log-normal distributions, and their
// upper bounds.
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

// Teams, their rates and the retries of their refused calls.
const (
	greedyTeam            = 3
	greedyFactor          = 4.0
	rateHeadroom          = 1.5
	burstSeconds          = 10.0
	maxRetries            = 5
	retryJitter           = 2.0 // seconds
	maxRunFactor          = 3.0
	fullBatchStep         = stepBase + stepPerSequence*engineSlots
	decodeSecondsPerToken = fullBatchStep / engineSlots // engine seconds in a full batch
)

func demandShares() []float64 {
	return []float64{0.35, 0.25, 0.15, 0.08, 0.06, 0.05, 0.04, 0.02}
}
