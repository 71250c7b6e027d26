package rate

import (
	"time"

	"hawthornrail.example/hawthornrail/internal/team/share"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func borrowRequestToWire(deployment string, r BorrowRequest) *vmpb.Borrow {
	m := &vmpb.Borrow{Deployment: deployment, Number: r.Number(), Amount: r.Amount(), Immediate: r.Immediate(), MaxDelayMs: uint32(r.MaxDelay().Milliseconds())}
	for _, s := range r.Settlements() {
		m.Settled = append(m.Settled, &vmpb.Settlement{Number: s.Number(), Unused: s.Unused()})
	}
	return m
}

func borrowRequestFromWire(holder string, m *vmpb.Borrow) BorrowRequest {
	var settlements []Settlement
	for _, s := range m.GetSettled() {
		settlements = append(settlements, NewSettlement(s.GetNumber(), s.GetUnused()))
	}
	request := NewBorrowRequest(holder, m.GetNumber(), m.GetAmount(), settlements)
	request.immediate = m.GetImmediate()
	request.maxDelay = time.Duration(m.GetMaxDelayMs()) * time.Millisecond
	return request
}

func borrowReplyToWire(r BorrowReply) *vmpb.BorrowReply {
	return &vmpb.BorrowReply{
		Amount: r.Amount(), Left: float32(r.Remaining()), WaitMs: r.Wait().Milliseconds(),
		// Rounded up, so that no promised token is used too soon.
		DelayMs: roundUp(r.Delay(), time.Millisecond).Milliseconds(),
	}
}

func borrowReplyFromWire(number uint64, m *vmpb.BorrowReply) BorrowReply {
	reply := NewBorrowReply(number, m.GetAmount(), float64(m.GetLeft()), time.Duration(m.GetWaitMs())*time.Millisecond)
	return reply.WithDelay(time.Duration(m.GetDelayMs()) * time.Millisecond)
}

func stateToWire(deployment string, s share.State) *vmpb.ShareState {
	m := &vmpb.ShareState{
		Deployment: deployment, Plan: s.PlanFingerprint(), Settled: s.Settled(),
		Rate: s.Share().Rate(), Burst: s.Share().Burst(),
	}
	for _, c := range s.Claims() {
		m.Claims = append(m.Claims, &vmpb.ShareClaim{
			Vm: c.VM(), LowRate: c.Low().Rate(), LowBurst: c.Low().Burst(),
			HighRate: c.High().Rate(), HighBurst: c.High().Burst(),
		})
	}
	return m
}

func stateFromWire(vm string, m *vmpb.ShareState) share.State {
	var claims []share.Claim
	for _, c := range m.GetClaims() {
		low := share.NewShare(c.GetLowRate(), c.GetLowBurst())
		claims = append(claims, share.NewClaim(c.GetVm(), low, share.NewShare(c.GetHighRate(), c.GetHighBurst())))
	}
	return share.NewState(vm, m.GetPlan(), share.NewShare(m.GetRate(), m.GetBurst()), m.GetSettled(), claims)
}
