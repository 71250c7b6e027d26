package events

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// The events of the process as a whole.
var (
	ProcessStarted  = register(1001, zerolog.InfoLevel, "process started", "")
	ProcessStopping = register(1002, zerolog.InfoLevel, "shutdown begun", "")
	ProcessStopped  = register(1003, zerolog.InfoLevel, "process stopped", "")
	DrainTimedOut   = register(1004, zerolog.WarnLevel, "shutdown limit reached with requests under way", "raise drain_timeout if requests take longer")
	ListenerFailed  = register(1005, zerolog.ErrorLevel, "listener failed", "check the address in the settings")
	ProcessDrained  = register(1006, zerolog.InfoLevel, "requests under way ended before the shutdown", "")

	SettingsReloaded = register(1007, zerolog.InfoLevel, "settings read again", "")
	ReloadFailed     = register(1008, zerolog.ErrorLevel, "changed settings can't be read; the former stay in force", "correct the settings file")
	WorkDone         = register(1009, zerolog.InfoLevel, "work of the last seconds", "")
)

// The events of requests.
var (
	RequestRefused = register(2001, zerolog.DebugLevel, "request refused", "")
	RequestFailed  = register(2002, zerolog.WarnLevel, "request failed", "look at the verdict and the endpoint's state")
	AnswerCut      = register(2003, zerolog.WarnLevel, "answer cut before its end", "look at the endpoint's log")
)

// The events of forwarded requests.
var (
	ForwardArrived  = register(2101, zerolog.InfoLevel, "request arrived", "")
	ForwardAdmitted = register(2102, zerolog.InfoLevel, "request counted against its team's rate", "")
	ForwardReserved = register(2103, zerolog.InfoLevel, "tokens reserved in the program's budget", "")
	ForwardSent     = register(2104, zerolog.InfoLevel, "request sent to an endpoint", "")
	ForwardRetried  = register(2105, zerolog.InfoLevel, "request is sent again", "")
	StreamResumed   = register(2106, zerolog.InfoLevel, "stream resumed after its last event", "")
	ForwardAnswered = register(2107, zerolog.InfoLevel, "request answered", "")
	ForwardRefused  = register(2108, zerolog.InfoLevel, "request refused as not run", "")
	ForwardFailed   = register(2109, zerolog.WarnLevel, "request failed and may have run", "look at the endpoint's state")
	ForwardCut      = register(2110, zerolog.WarnLevel, "answer cut before its end", "look at the endpoint's log")
	CallerGone      = register(2111, zerolog.InfoLevel, "caller left before the answer's end", "")
	EndpointLeaves  = register(2112, zerolog.InfoLevel, "endpoint says that it is leaving; no new request goes there", "")
)

// The events of programs.
var (
	ProgramCreated    = register(3001, zerolog.DebugLevel, "program created", "")
	ProgramEnded      = register(3002, zerolog.DebugLevel, "program ended", "")
	MemoryUnconfirmed = register(3020, zerolog.WarnLevel, "engine does not confirm a release of memory", "none unless it lasts; then look at the engine")
	HoldingTaken      = register(3101, zerolog.WarnLevel, "holding taken over from another VM", "look at that VM")
	HoldingLost       = register(3102, zerolog.WarnLevel, "holding taken over by another VM", "look for a pause or a cut of this VM")
	BackupChanged     = register(3103, zerolog.InfoLevel, "holding has a new backup", "")
	BackupMissing     = register(3104, zerolog.WarnLevel, "holding has no backup that answers", "start the VM again or restore the platform")
	HoldingHanded     = register(3105, zerolog.InfoLevel, "holding handed over", "")
	CallSettled       = register(3106, zerolog.WarnLevel, "outcome of a call is not known after a takeover", "")
	HandOverFailed    = register(3107, zerolog.ErrorLevel, "holding could not be handed over", "raise drain_timeout; the backup takes over")
)

// The events of program budgets.
var (
	AccountsOpened    = register(3201, zerolog.InfoLevel, "accounts of programs opened", "")
	AccountFailed     = register(3202, zerolog.WarnLevel, "account could not be changed", "look at the disk of the VM and at the other holders")
	HolderLost        = register(3203, zerolog.WarnLevel, "holder of budgets does not answer", "none unless it lasts")
	HolderBack        = register(3204, zerolog.InfoLevel, "holder of budgets answers again", "")
	SettleLost        = register(3205, zerolog.WarnLevel, "settlement did not reach its holder; the reservation stays", "")
	AccountsRecovered = register(3206, zerolog.InfoLevel, "programs with an account learned again after the loss of a disk", "")
	RecoverFailed     = register(3207, zerolog.WarnLevel, "programs with an account can't be learned yet; it tries again", "none unless it lasts")
	GrantLost         = register(3208, zerolog.WarnLevel, "part of a budget may not have reached its holder; it counts as used", "")
)

// The events of configuration.
var (
	ConfigLoaded    = register(4001, zerolog.InfoLevel, "configuration loaded", "")
	ConfigChanged   = register(4002, zerolog.InfoLevel, "configuration changed", "")
	PlatformLost    = register(4003, zerolog.WarnLevel, "platform does not answer", "none: the last configuration stays in force")
	PlatformBack    = register(4004, zerolog.InfoLevel, "platform answers again", "")
	ObjectMalformed = register(4005, zerolog.ErrorLevel, "object could not be read", "apply a correct version of the object")

	EndpointsChanged = register(4006, zerolog.InfoLevel, "list of endpoints changed", "")
	VMsChanged       = register(4007, zerolog.InfoLevel, "list of VMs changed", "")
	VMRegistered     = register(4008, zerolog.InfoLevel, "VM listed in the platform", "")
	RegisterFailed   = register(4009, zerolog.WarnLevel, "VM could not be listed in the platform; it tries again", "")
	HolderClaimed    = register(4010, zerolog.InfoLevel, "VM is the holder of its data centre", "")
	EndpointsExpired = register(4011, zerolog.InfoLevel, "endpoints whose entries lapsed in an outage did not come back", "")
)

// The events between VMs.
var (
	PeerLost     = register(5001, zerolog.WarnLevel, "VM does not answer", "none unless it lasts")
	PeerBack     = register(5002, zerolog.InfoLevel, "VM answers again", "")
	PeerRejected = register(5003, zerolog.WarnLevel, "connection without the fleet's secret rejected", "check who connects")
	PeerUnproved = register(5004, zerolog.InfoLevel, "connection ended before its handshake", "")
)

// The events of endpoints.
var (
	EndpointLost = register(6001, zerolog.WarnLevel, "endpoint does not answer", "look at the endpoint")
	EndpointBack = register(6002, zerolog.InfoLevel, "endpoint answers again", "")
)

var catalogue []Event

func register(number int, level zerolog.Level, message, action string) Event {
	e := Event{number: number, level: level, message: message, action: action}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event { return append([]Event{}, catalogue...) }

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated by `go test ./internal/observe/events -update`; do not edit.\n\n")
	b.WriteString("| event | level | message | what to do |\n| --- | --- | --- | --- |\n")
	for _, e := range catalogue {
		action := e.action
		if action == "" {
			action = "nothing"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.number, e.level, e.message, action)
	}
	return b.String()
}
