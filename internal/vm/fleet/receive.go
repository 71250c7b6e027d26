package fleet

import (
	"context"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/config/relay"
	"hawthornrail.example/hawthornrail/internal/program/home"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/team/rate"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/vm/members"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// Receiver serves the requests of other VMs.
type Receiver struct {
	self      hawthornrail.Instance
	holdings  *Holdings
	secret    []byte
	local     *home.Home
	replicas  *replica.Store
	prober    *members.Prober
	rates     *rate.Limiter
	relay     *relay.Relay
	forwarded inFlightCalls
}

// NewReceiver returns a receiver for the programs held here, the replicas kept
// here, the rates that this VM has a share of and the configuration.
func NewReceiver(secret []byte, local *home.Home, holdings *Holdings, prober *members.Prober, rates *rate.Limiter, changes *relay.Relay) *Receiver {
	return &Receiver{
		self: holdings.deps.Self, secret: secret, local: local,
		holdings: holdings, replicas: holdings.deps.Replicas, prober: prober, rates: rates, relay: changes,
	}
}

// Handle serves one stream; it implements peer.Handler.
func (v *Receiver) Handle(ctx context.Context, open *vmpb.Open, s *peer.Stream) {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_Call:
		v.call(ctx, k.Call, s)
	case *vmpb.Open_Step:
		v.step(k.Step, s)
	case *vmpb.Open_Heartbeat:
		_ = s.Send(v.prober.HandleHeartbeat(k.Heartbeat))
	case *vmpb.Open_ConfigFollow, *vmpb.Open_ConfigNews, *vmpb.Open_ConfigStatus:
		v.relay.Handle(ctx, open, s)
	case *vmpb.Open_CreateProgram:
		v.createChild(ctx, k.CreateProgram, s)
	case *vmpb.Open_EndProgram:
		v.endProgram(ctx, k.EndProgram, s)
	case *vmpb.Open_Borrow, *vmpb.Open_ShareState, *vmpb.Open_LeaveRates:
		v.rates.Receive(open, s)
	default:
		v.servePairing(open, s)
	}
}

func (v *Receiver) call(ctx context.Context, m *vmpb.Call, s *peer.Stream) {
	if !v.forwarded.begin() {
		_ = s.Send(&vmpb.CallReply{Kind: &vmpb.CallReply_End{End: convert.EndToWire(drainingFailure())}})
		return
	}
	defer v.forwarded.end()
	err := v.local.Serve(ctx, convert.CallFromWire(m), streamWriter{s})
	_ = s.Send(&vmpb.CallReply{Kind: &vmpb.CallReply_End{End: convert.EndToWire(err)}})
}

func (v *Receiver) step(m *vmpb.Step, s *peer.Stream) {
	reply := &vmpb.StepReply{Accepted: true}
	if err := v.accept(m, s.From()); err != nil {
		reply = &vmpb.StepReply{Reason: err.Error()}
	}
	_ = s.Send(reply)
}

func (v *Receiver) accept(m *vmpb.Step, from hawthornrail.Instance) error {
	step, err := convert.StepFromWire(m)
	if err != nil {
		return err
	}
	if home := convert.InstanceFromWire(m.GetHome()); home != from {
		return fmt.Errorf("step of %s came from %s", home, from)
	}
	return v.replicas.Step(from, m.GetEpoch(), step)
}

func (v *Receiver) createChild(ctx context.Context, m *vmpb.CreateProgram, s *peer.Stream) {
	id, err := ownedProgram(m.GetParentId(), m.GetTeam(), v.secret)
	if err == nil {
		id, err = v.local.CreateChild(ctx, id, convert.BudgetFromWire(m.GetBudget()))
	}
	_ = s.Send(programReply(id, err))
}

func (v *Receiver) endProgram(ctx context.Context, m *vmpb.EndProgram, s *peer.Stream) {
	id, err := ownedProgram(m.GetProgramId(), m.GetTeam(), v.secret)
	if err == nil {
		err = v.local.End(ctx, id, m.GetReason())
	}
	_ = s.Send(programReply(id, err))
}

func ownedProgram(s, team string, secret []byte) (hawthornrail.ProgramID, error) {
	id, err := hawthornrail.ParseProgramID(s)
	if err != nil {
		return id, hawthornrail.NewFailure(hawthornrail.CodeBadRequest, hawthornrail.VerdictNotRun, err)
	}
	if !id.Belongs(team, secret) {
		return id, hawthornrail.NotRun(hawthornrail.CodeUnknownProgram, "program %s is not known to the team", id)
	}
	return id, nil
}

func programReply(id hawthornrail.ProgramID, err error) *vmpb.ProgramReply {
	if err != nil {
		return &vmpb.ProgramReply{Failure: convert.EndToWire(err)}
	}
	return &vmpb.ProgramReply{ProgramId: id.String()}
}

// streamWriter writes a response to the VM that forwarded the call.
type streamWriter struct {
	stream *peer.Stream
}

// Head sends the status and the media type.
func (w streamWriter) Head(status int, contentType string) error {
	return w.stream.Send(&vmpb.CallReply{Kind: &vmpb.CallReply_Head{Head: &vmpb.CallHead{
		Status: int32(status), ContentType: contentType,
	}}})
}

// Chunk sends a part of the body.
func (w streamWriter) Chunk(data []byte) error {
	return w.stream.Send(&vmpb.CallReply{Kind: &vmpb.CallReply_Chunk{Chunk: &vmpb.CallChunk{Data: data}}})
}
