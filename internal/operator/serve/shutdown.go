package serve

import (
	"context"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	// drainDelay is how long new requests are still served while callers are
	// told to use other VMs. It is at most the drain timeout divided by
	// drainDelayDivisor.
	drainDelay         = time.Second
	stopTimeout        = time.Second
	recordPollInterval = 20 * time.Millisecond
	drainDelayDivisor  = 4
)

// shutdown drains requests before it stops the parts that they need: first the
// requests of callers, then the calls that other VMs forwarded to this one, then
// the calls that are still being recorded.
func (p *process) shutdown() {
	start := p.in.Clock.Now()
	timeout := p.in.Settings.DrainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	requests, forwarded := p.in.Callers.Completed(), p.in.Receiver.Completed()
	p.in.Log.Event(events.ProcessStopping).Int("requests", p.in.Callers.InFlight()).
		Int("forwarded", p.in.Receiver.InFlight()).Emit()
	p.in.Callers.StartDraining()
	p.in.Clock.Sleep(min(drainDelay, timeout/drainDelayDivisor))
	_ = p.in.Callers.Shutdown(ctx)
	p.handOff(ctx)
	p.in.Receiver.Drain(ctx, p.in.Clock)
	for ctx.Err() == nil && p.in.Home.UnreplicatedOutcomes() > 0 {
		p.in.Clock.Sleep(recordPollInterval)
	}
	aborted := p.in.Callers.InFlight() + p.in.Receiver.InFlight()
	if ctx.Err() != nil {
		p.in.Log.Event(events.DrainTimedOut).Int("requests", aborted).Int("unrecorded", p.in.Home.UnreplicatedOutcomes()).Emit()
	}
	p.in.Log.Event(events.ProcessDrained).Int("requests", p.in.Callers.Completed()-requests).
		Int("forwarded", p.in.Receiver.Completed()-forwarded).Int("cut", aborted).
		Millis("took_ms", p.in.Clock.Since(start)).Emit()
	// Drain has its own timeout and is also called after the drain timeout.
	p.in.Rates.Drain(context.Background())
	_ = p.operator.Close()
	p.in.PeerServer.Close()
	p.in.PeerClient.Close()
	_ = p.in.Tracer.Close(ctx)
}

// handOff hands off the holdings of this VM to their backups, after the requests
// of callers have ended and while other VMs may still forward calls. A holding whose
// handoff fails is logged, and its backup takes it over later.
func (p *process) handOff(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout)
	defer cancel()
	_ = p.in.Holdings.HandOff(ctx)
}

// awaitBackground waits until the background functions have returned, for at most
// stopTimeout because a pending watch of the platform may take longer.
func (p *process) awaitBackground() {
	stopped := make(chan struct{})
	go func() {
		p.running.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-p.in.Clock.After(stopTimeout):
	}
}
