package convert

import (
	"fmt"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// InstanceToWire returns the message of an instance.
func InstanceToWire(i hawthornrail.Instance) *vmpb.Instance {
	return &vmpb.Instance{Vm: i.VM(), DataCentre: i.DataCentre(), Incarnation: i.Incarnation()}
}

// InstanceFromWire returns the instance of a message.
func InstanceFromWire(m *vmpb.Instance) hawthornrail.Instance {
	return hawthornrail.NewInstance(m.GetVm(), m.GetDataCentre(), m.GetIncarnation())
}

// BudgetToWire returns the message of a budget.
func BudgetToWire(b hawthornrail.Budget) *vmpb.Budget {
	return &vmpb.Budget{
		Calls: b.Calls(), Tokens: b.Tokens(), WallTimeMs: b.WallTime().Milliseconds(),
		Depth: b.Depth(), Children: b.Children(),
	}
}

// BudgetFromWire returns the budget of a message.
func BudgetFromWire(m *vmpb.Budget) hawthornrail.Budget {
	wall := time.Duration(m.GetWallTimeMs()) * time.Millisecond
	return hawthornrail.NewBudget(m.GetCalls(), m.GetTokens(), wall, m.GetDepth(), m.GetChildren())
}

// CallToWire returns the message of an identified request.
func CallToWire(r *hawthornrail.Request) *vmpb.Call {
	return &vmpb.Call{
		ProgramId: r.Program(), CallNumber: r.CallNumber(),
		Team: r.Team(), Deployment: r.Deployment().Name(), KeyId: r.KeyID(),
		Service: r.Service(), Model: r.Model(), Method: r.Method(), Path: r.Path(),
		ContentType: r.ContentType(), Body: r.Body(),
		IdempotencyKey: r.IdempotencyKey(), Idempotent: r.Idempotent(),
		Stream: r.Stream(), KeepHistory: r.KeepHistory(), EndsProgram: r.EndsProgram(),
		Priority: int32(r.Deployment().Priority()), Rate: r.Deployment().Rate(),
		ConfigRevision: r.Revision(),
	}
}

// CallFromWire returns the request of a message. The request uses the
// deployment as the forwarding VM has it, so that one request runs under a
// single configuration.
func CallFromWire(m *vmpb.Call) *hawthornrail.Request {
	d := hawthornrail.NewDeployment(m.GetDeployment(), m.GetTeam(), 0).
		WithRate(m.GetRate(), 0).WithPriority(int(m.GetPriority()))
	r := hawthornrail.NewServiceRequest(m.GetService(), m.GetMethod(), m.GetPath(), m.GetContentType(), m.GetBody())
	if m.GetModel() != "" {
		r = hawthornrail.NewModelRequest(m.GetModel(), m.GetBody(), m.GetStream())
	}
	r.Identify(m.GetKeyId(), d)
	r.SetRevision(m.GetConfigRevision())
	r.SetProgram(m.GetProgramId(), m.GetCallNumber())
	r.SetIdempotency(m.GetIdempotencyKey(), m.GetIdempotent())
	r.SetKeepHistory(m.GetKeepHistory())
	r.SetEndsProgram(m.GetEndsProgram())
	return r
}

// EndToWire returns the message that ends a call with err, or as complete if err
// is nil.
func EndToWire(err error) *vmpb.CallEnd {
	if err == nil {
		return &vmpb.CallEnd{Whole: true, Verdict: vmpb.Verdict_VERDICT_RAN}
	}
	f := hawthornrail.AsFailure(err)
	return &vmpb.CallEnd{
		Verdict: vmpb.Verdict(f.Verdict()), Code: string(f.Code()), Message: f.Message(),
		RetryAfterMs: f.RetryAfter().Milliseconds(),
	}
}

// EndFromWire returns the error that a message carries, or nil if the call was
// complete.
func EndFromWire(m *vmpb.CallEnd) error {
	if m.GetWhole() {
		return nil
	}
	verdict := hawthornrail.Verdict(m.GetVerdict())
	if verdict == 0 {
		verdict = hawthornrail.VerdictMayHaveRun
	}
	f := hawthornrail.NewFailure(hawthornrail.Code(m.GetCode()), verdict, fmt.Errorf("%s", m.GetMessage()))
	return f.WithRetryAfter(time.Duration(m.GetRetryAfterMs()) * time.Millisecond)
}

// MemberToWire returns the message of a member.
func MemberToWire(m hawthornrail.Member) *vmpb.Member {
	return &vmpb.Member{Instance: InstanceToWire(m.Instance()), Address: m.Address(), Leaving: m.Draining()}
}

// MemberFromWire returns the member of a message, without a time of the last
// contact.
func MemberFromWire(m *vmpb.Member) hawthornrail.Member {
	return hawthornrail.NewMember(InstanceFromWire(m.GetInstance()), m.GetAddress(), m.GetLeaving(), time.Time{})
}

// MembersToWire returns the messages of members.
func MembersToWire(members []hawthornrail.Member) []*vmpb.Member {
	converted := make([]*vmpb.Member, 0, len(members))
	for _, m := range members {
		converted = append(converted, MemberToWire(m))
	}
	return converted
}

// MembersFromWire returns the members of messages.
func MembersFromWire(messages []*vmpb.Member) []hawthornrail.Member {
	converted := make([]hawthornrail.Member, 0, len(messages))
	for _, m := range messages {
		converted = append(converted, MemberFromWire(m))
	}
	return converted
}
