package serve

import (
	"context"
	"time"

	"hawthornrail.example/hawthornrail/internal/observe/events"
)

const (
	// leaveTime is how long callers are still served after they were asked to
	// go elsewhere.
	leaveTime    = time.Second
	stopTimeout  = time.Second
	recordPoll   = 20 * time.Millisecond
	leaveDivisor = 4
)

// shutdown lets requests end before the parts they need stop: first those of
// callers, then the calls that other VMs sent here, then the records of both.
func (p *process) shutdown() {
	start := p.in.Clock.Now()
	limit := p.in.Settings.DrainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	requests, forwarded := p.in.Callers.Ended(), p.in.Receiver.Ended()
	p.in.Log.Event(events.ProcessStopping).Int("requests", p.in.Callers.UnderWay()).
		Int("forwarded", p.in.Receiver.UnderWay()).Emit()
	p.in.Callers.Leave()
	p.in.Clock.Sleep(min(leaveTime, limit/leaveDivisor))
	_ = p.in.Callers.Shutdown(ctx)
	p.handOver(ctx)
	p.in.Receiver.Drain(ctx, p.in.Clock)
	for ctx.Err() == nil && p.in.Home.Recording() > 0 {
		p.in.Clock.Sleep(recordPoll)
	}
	cut := p.in.Callers.UnderWay() + p.in.Receiver.UnderWay()
	if ctx.Err() != nil {
		p.in.Log.Event(events.DrainTimedOut).Int("requests", cut).Int("unrecorded", p.in.Home.Recording()).Emit()
	}
	p.in.Log.Event(events.ProcessDrained).Int("requests", p.in.Callers.Ended()-requests).
		Int("forwarded", p.in.Receiver.Ended()-forwarded).Int("cut", cut).
		Int("took_ms", int(p.in.Clock.Since(start).Milliseconds())).Emit()
	// Leave bounds its own time, also when the drain limit has passed.
	p.in.Rates.Leave(context.Background())
	_ = p.operator.Close()
	p.in.PeerServer.Close()
	p.in.PeerClient.Close()
	_ = p.in.Tracer.Close(ctx)
}

// handOver gives the programs held here to other VMs, once the requests of
// callers have ended and while calls of other VMs still arrive; each holding
// that fails is logged and taken over by its backup later.
func (p *process) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	_ = p.in.Holdings.HandOver(ctx)
}

// waitStopped waits for the parts that run in the background; a watch of the
// platform may take longer than is worth waiting for.
func (p *process) waitStopped() {
	stopped := make(chan struct{})
	go func() {
		p.wait.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-p.in.Clock.After(stopTimeout):
	}
}
