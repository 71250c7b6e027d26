package events

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// The events of the process as a whole.
var (
	ProcessStarted  = register(1001, zerolog.InfoLevel, "process started", "")
	ProcessStopping = register(1002, zerolog.InfoLevel, "shutdown started", "")
	ProcessStopped  = register(1003, zerolog.InfoLevel, "process stopped", "")
	DrainTimedOut   = register(1004, zerolog.WarnLevel, "shutdown timeout reached with requests in flight", "raise drain_timeout if requests take longer")
	ListenerFailed  = register(1005, zerolog.ErrorLevel, "listener failed", "check the address in the settings")
	ProcessDrained  = register(1006, zerolog.InfoLevel, "draining of requests ended", "")

	SettingsReloaded = register(1007, zerolog.InfoLevel, "settings reloaded", "")
	ReloadFailed     = register(1008, zerolog.ErrorLevel, "settings could not be reloaded; the previous settings stay in force", "correct the settings file")
	WorkReport       = register(1009, zerolog.InfoLevel, "work since the previous report", "")
)

// The events of callers' requests.
var (
	RequestRefused    = register(2001, zerolog.DebugLevel, "request refused", "")
	RequestFailed     = register(2002, zerolog.WarnLevel, "request failed", "check the verdict and the endpoint's state")
	ResponseTruncated = register(2003, zerolog.WarnLevel, "response truncated", "check the endpoint's log")
)

// The events of forwarded requests.
var (
	ForwardArrived     = register(2101, zerolog.InfoLevel, "request arrived", "")
	ForwardAdmitted    = register(2102, zerolog.InfoLevel, "request counted against its team's rate", "")
	ForwardReserved    = register(2103, zerolog.InfoLevel, "tokens reserved in the program's budget", "")
	ForwardSent        = register(2104, zerolog.InfoLevel, "request sent to an endpoint", "")
	ForwardRetried     = register(2105, zerolog.InfoLevel, "request retried", "")
	StreamResumed      = register(2106, zerolog.InfoLevel, "stream resumed after its last event", "")
	ForwardCompleted   = register(2107, zerolog.InfoLevel, "request completed", "")
	ForwardRefused     = register(2108, zerolog.InfoLevel, "request refused; it did not run", "")
	ForwardFailed      = register(2109, zerolog.WarnLevel, "request failed and may have run", "check the endpoint's state")
	ForwardTruncated   = register(2110, zerolog.WarnLevel, "response truncated", "check the endpoint's log")
	CallerDisconnected = register(2111, zerolog.InfoLevel, "caller disconnected before the end of the response", "")
	EndpointDraining   = register(2112, zerolog.InfoLevel, "endpoint reports that it is draining; it receives no new requests", "")
	EndpointLimited    = register(2113, zerolog.InfoLevel, "endpoint starts to name a rate limit, or names none any more if it is 0", "check the endpoint's load")
	EndpointCrashed    = register(2114, zerolog.WarnLevel, "endpoint ended while it had the request", "check the endpoint; if the same content or resource recurs, check its caller")
	RequestQuarantined = register(2115, zerolog.WarnLevel, "requests with a digest have crashed endpoints and are refused", "find the team's request by the content or resource of event 2114; see docs/operators/quarantine.md")
	TrialStarted       = register(2116, zerolog.InfoLevel, "one request like those that are refused is sent, to see whether it still crashes its endpoint", "")
	QuarantineEnded    = register(2117, zerolog.InfoLevel, "a request like those that are refused has completed; they are served again", "")
	ForwardDetoured    = register(2118, zerolog.InfoLevel, "request sent through another VM, since this one reaches no endpoint", "")
	DetourReceived     = register(2119, zerolog.InfoLevel, "request of another VM received for an endpoint", "")
	DetourEnded        = register(2120, zerolog.InfoLevel, "request of another VM ended", "")
	ResponseOversized  = register(2121, zerolog.WarnLevel, "response given up: it is too long, or the responses in flight hold too much memory", "check the endpoint; if its responses are sound, raise the limit in the settings")
	LossExplained      = register(2122, zerolog.WarnLevel, "endpoint that broke off the request is gone; it counts as crashed", "check the endpoint; if the same content or resource recurs, check its caller")
	LoadUnreadable     = register(2123, zerolog.WarnLevel, "load report of an endpoint could not be read and was dropped", "check the endpoint's version")
	EvacuationInForce  = register(2124, zerolog.WarnLevel, "data centre is evacuated; its endpoints receive no requests", "see docs/operators/zones.md")
	EvacuationEnded    = register(2125, zerolog.InfoLevel, "evacuation of a data centre was withdrawn; its endpoints receive requests again, as cold ones at first", "")
	StreamTakenUp      = register(2126, zerolog.InfoLevel, "origin of a stream that its caller takes up was looked for", "if known is false, the VMs that knew have restarted or do not reply")

	ChainLoaded        = register(2130, zerolog.InfoLevel, "chain of a conversation searched", "if found is false and no_reply or uncertain is not 0, check the VMs with a disk; see docs/operators/conversations.md")
	TurnSaved          = register(2131, zerolog.InfoLevel, "turn of a conversation stored before the end of its response, or its response broken off", "if stored is false, check the VMs with a disk")
	ResponseNoTurn     = register(2132, zerolog.InfoLevel, "response on a route with conversations is no turn: it is no stream, the end of a resumed one, without an ID, or too long", "if it is too long, raise limits.max_chain_bytes")
	DiskVMUnresponsive = register(2133, zerolog.WarnLevel, "VM with a disk does not respond; it is skipped for turns of conversations", "check the VM")
	DiskVMResponsive   = register(2134, zerolog.InfoLevel, "VM with a disk responds again", "")
	TurnKept           = register(2135, zerolog.WarnLevel, "turn of a conversation kept in the platform's store before the end of its response, since too few disks had it", "check the VMs with a disk")
	HandoffUnavailable = register(2136, zerolog.WarnLevel, "platform's store takes no turns; turns that too few disks can store are refused, not run", "check the platform's store and the network to it")
	HandoffAvailable   = register(2137, zerolog.InfoLevel, "platform's store takes turns again", "")
	TurnTakenUp        = register(2138, zerolog.InfoLevel, "events of a turn were looked for whose stream its caller takes up", "if known is false, the VMs that had them have restarted or do not reply")
)

// The events of stored conversations at VMs with a disk.
var (
	TurnStoreOpened    = register(2140, zerolog.InfoLevel, "store of conversations opened", "")
	TurnStoreFailed    = register(2141, zerolog.ErrorLevel, "store of conversations could not be opened; this is retried", "check the disk")
	TurnNotStored      = register(2142, zerolog.WarnLevel, "turns can't be stored on this VM's disk; other VMs store them", "check the disk; if it has space, raise disk.conversations_mb")
	TurnsStored        = register(2143, zerolog.InfoLevel, "turns are stored on this VM's disk again", "")
	TurnUnreadable     = register(2144, zerolog.ErrorLevel, "turns could not be read from the disk", "check the disk")
	SegmentNotRemoved  = register(2145, zerolog.WarnLevel, "expired turns could not be removed from the disk", "check the disk")
	RepairDelayed      = register(2146, zerolog.WarnLevel, "turns of another VM could not be read or stored; repair goes on later", "check the other VM and the network")
	TurnsCertain       = register(2147, zerolog.InfoLevel, "VM holds each turn that it should; it replies that others do not exist", "")
	TurnsUncertain     = register(2148, zerolog.WarnLevel, "VM may lack turns; it does not reply that turns do not exist", "check the VMs that do not respond")
	KeptTurnsDelivered = register(2149, zerolog.InfoLevel, "turns that the platform's store kept were stored on disks", "if turns remain for long, check the VMs with a disk")
)

// The events of the memory of requests in flight.
var (
	MemoryFull         = register(2150, zerolog.WarnLevel, "request refused, not run: the requests or responses in flight hold too much memory", "check the callers of the VM; if they are sound, raise limits.memory_mb")
	RequestEvicted     = register(2151, zerolog.WarnLevel, "request ended, not run: it made no progress while its memory was needed", "check its caller")
	ConnectionsRefused = register(2152, zerolog.WarnLevel, "connections of callers refused since the previous line: too many are open", "check the callers of the VM; if they are sound, raise limits.max_connections")
)

// The events of chains that are received in parts.
var (
	ChainInterrupted = register(2153, zerolog.InfoLevel, "a VM with a disk sent a part of a chain and not the rest; another one is asked", "check the VM")
)

// The events of accepting connections.
var (
	AcceptFailed = register(2154, zerolog.WarnLevel, "connections could not be accepted since the previous line; idle ones are closed", "raise the limit of open files of the process, or add VMs")
)

// The events of choosing endpoints.
var (
	EndpointEstimated = register(2155, zerolog.InfoLevel, "speed, pace and load that the choice of the endpoint was based on", "")
)

// The events of repair after lost disks.
var (
	RepairPaced    = register(2160, zerolog.InfoLevel, "turns are missing on this VM; the pace of their repair was set by their size and the time to catch up", "if left_ms exceeds time_ms, a further loss is not borne in time: let the store hold less (disk.conversations_mb) or give the VM a faster link")
	CopiesComplete = register(2161, zerolog.InfoLevel, "turns that were missing on this VM are stored; a further loss is borne from now on", "")
	TurnsMayBeLost = register(2162, zerolog.ErrorLevel, "a further disk was lost before this VM had the copies of an earlier loss; turns may be lost, and none is said not to exist until they have expired", "check why the disks were lost, and whether repair keeps up (event 2160)")
)

// The events of programs.
var (
	ProgramCreated    = register(3001, zerolog.DebugLevel, "program created", "")
	ProgramEnded      = register(3002, zerolog.DebugLevel, "program ended", "")
	MemoryUnconfirmed = register(3020, zerolog.WarnLevel, "engine has not confirmed a memory release", "none unless it persists; then check the engine")
	HoldingTaken      = register(3101, zerolog.WarnLevel, "holding taken over from another VM", "check that VM")
	HoldingLost       = register(3102, zerolog.WarnLevel, "holding taken over by another VM", "check this VM for a pause or a network partition")
	BackupChanged     = register(3103, zerolog.InfoLevel, "holding has a new backup", "")
	BackupMissing     = register(3104, zerolog.WarnLevel, "holding has no backup that responds", "restart the VM or restore the platform")
	HoldingHandedOff  = register(3105, zerolog.InfoLevel, "holding handed off", "")
	CallSettled       = register(3106, zerolog.WarnLevel, "outcome of a call is unknown after a takeover", "")
	HandOffFailed     = register(3107, zerolog.ErrorLevel, "holding could not be handed off", "raise drain_timeout; the backup takes over")
)

// The events of program budgets.
var (
	AccountsOpened        = register(3201, zerolog.InfoLevel, "program accounts opened", "")
	AccountFailed         = register(3202, zerolog.WarnLevel, "account could not be updated", "check the VM's disk and the other holders")
	HolderUnresponsive    = register(3203, zerolog.WarnLevel, "budget holder does not respond", "none unless it persists")
	HolderResponsive      = register(3204, zerolog.InfoLevel, "budget holder responds again", "")
	SettlementUndelivered = register(3205, zerolog.WarnLevel, "settlement could not be delivered to the holder; the reservation stays", "")
	AccountsRecovered     = register(3206, zerolog.InfoLevel, "list of programs with an account recovered after a disk loss", "")
	RecoverFailed         = register(3207, zerolog.WarnLevel, "list of programs with an account could not be recovered; will retry", "none unless it persists")
	GrantUndelivered      = register(3208, zerolog.WarnLevel, "grant of budget tokens may not have reached its holder; the tokens count as used", "")
	AccountsHandedOver    = register(3209, zerolog.InfoLevel, "budget tokens handed over to another holder before the process exits", "")
	HandOverFailed        = register(3210, zerolog.WarnLevel, "budget tokens could not be handed over before the process exits; they stay on this VM's disk, or are lost if the message may have arrived", "keep the disk, and check the other holders")
)

// The events of configuration.
var (
	ConfigLoaded         = register(4001, zerolog.InfoLevel, "configuration loaded", "")
	ConfigChanged        = register(4002, zerolog.InfoLevel, "configuration changed", "")
	PlatformUnresponsive = register(4003, zerolog.WarnLevel, "platform does not respond", "none: the last configuration stays in force")
	PlatformResponsive   = register(4004, zerolog.InfoLevel, "platform responds again", "")
	ObjectMalformed      = register(4005, zerolog.ErrorLevel, "object could not be decoded", "apply a corrected version of the object")

	EndpointsChanged = register(4006, zerolog.InfoLevel, "list of endpoints changed", "")
	VMsChanged       = register(4007, zerolog.InfoLevel, "list of VMs changed", "")
	VMRegistered     = register(4008, zerolog.InfoLevel, "VM registered in the platform", "")
	RegisterFailed   = register(4009, zerolog.WarnLevel, "VM could not be registered in the platform; will retry", "")
	HolderClaimed    = register(4010, zerolog.InfoLevel, "VM claimed the role of holder of its data centre", "")
	EndpointsExpired = register(4011, zerolog.InfoLevel, "endpoint entries that expired during an outage were not renewed", "")
	WatchStarted     = register(4012, zerolog.InfoLevel, "VM starts to watch the platform itself", "")
	WatchStopped     = register(4013, zerolog.InfoLevel, "VM stops watching the platform and follows other VMs", "")
	SourceFollowed   = register(4014, zerolog.InfoLevel, "VM follows another VM's watch of the platform", "")
	SourceLost       = register(4015, zerolog.InfoLevel, "followed VM does not respond or does not watch the platform", "")

	UnlistedVMsChanged  = register(4016, zerolog.InfoLevel, "list of VMs that serve although the platform does not list them changed", "")
	ConfigValueReplaced = register(4017, zerolog.WarnLevel, "value of the configuration is out of range; the nearest one is used", "correct the configuration")
)

// The events between VMs.
var (
	PeerUnresponsive = register(5001, zerolog.WarnLevel, "VM does not respond", "none unless it persists")
	PeerResponsive   = register(5002, zerolog.InfoLevel, "VM responds again", "")
	PeerRejected     = register(5003, zerolog.WarnLevel, "connection rejected: peer does not have the fleet's secret", "check the source of the connection")
	HandshakeFailed  = register(5004, zerolog.InfoLevel, "connection closed before the handshake completed", "")
)

// The events of endpoints.
var (
	EndpointUnresponsive = register(6001, zerolog.WarnLevel, "endpoint does not respond", "check the endpoint")
	EndpointResponsive   = register(6002, zerolog.InfoLevel, "endpoint responds again", "")
	ServiceUnreachable   = register(6003, zerolog.WarnLevel, "VM reaches no endpoint of a service; requests go through other VMs that do, or are refused if there is none", "check the network between the VM and the endpoints")
	ServiceReachable     = register(6004, zerolog.InfoLevel, "VM reaches endpoints of a service again", "")
)

var catalogue []Event

func register(number int, level zerolog.Level, message, action string) Event {
	e := Event{number: number, level: level, message: message, action: action}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events sorted by number.
func Catalogue() []Event { return append([]Event{}, catalogue...) }

// Markdown returns the content of docs/EVENTS.md, generated from the catalogue.
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
