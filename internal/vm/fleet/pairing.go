package fleet

import (
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/pair"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// pairing serves what a holder sends to its backup.
func (v *Receiver) pairing(open *vmpb.Open, s *peer.Stream) {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_PairBeat:
		_ = s.Send(v.beat(k.PairBeat, s.From()))
	case *vmpb.Open_PairOffer:
		_ = s.Send(v.offer(k.PairOffer, s.From()))
	case *vmpb.Open_PairSync:
		_ = s.Send(v.sync(k.PairSync, s.From()))
	case *vmpb.Open_HandOver:
		_ = s.Send(v.handOver(k.HandOver, s.From()))
	case *vmpb.Open_WhoHolds:
		_ = s.Send(v.whoHolds(k.WhoHolds))
	}
}

func (v *Receiver) beat(m *vmpb.PairBeat, from hawthornrail.Instance) *vmpb.PairReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.PairReply{}
	}
	answer := v.replicas.Beat(holding, replica.NewBeat(from, m.GetEpoch(), m.GetGrant(), m.GetReclaim()))
	return &vmpb.PairReply{
		Accepted: answer.Accepted(), Returned: answer.Returned(), Resigned: answer.Resigned(),
		HolderEpoch: v.holdings.epoch(holding),
	}
}

func (v *Receiver) offer(m *vmpb.PairOffer, from hawthornrail.Instance) *vmpb.PairReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.PairReply{}
	}
	v.holdings.supersede(holding, m.GetHeld())
	if v.holdings.Holds(holding) {
		return &vmpb.PairReply{HolderEpoch: v.holdings.epoch(holding)}
	}
	var trees [][]hawthornrail.Step
	for _, t := range m.GetTrees() {
		steps, err := treeFromWire(t)
		if err != nil {
			return &vmpb.PairReply{}
		}
		trees = append(trees, steps)
	}
	offer := pair.NewOffer(pair.NewPairing(from, v.self, m.GetEpoch()), m.GetHeld())
	err = v.replicas.Offer(holding, replica.NewPart(offer, m.GetFirst(), m.GetLast(), trees))
	return &vmpb.PairReply{Accepted: err == nil}
}

func (v *Receiver) sync(m *vmpb.PairSync, from hawthornrail.Instance) *vmpb.StepReply {
	steps, err := treeFromWire(m.GetTree())
	if err == nil {
		err = v.replicas.Sync(from, m.GetEpoch(), m.GetNumber(), steps)
	}
	if err != nil {
		return &vmpb.StepReply{Reason: err.Error()}
	}
	return &vmpb.StepReply{Accepted: true}
}

func (v *Receiver) handOver(m *vmpb.HandOver, from hawthornrail.Instance) *vmpb.PairReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.PairReply{}
	}
	taken, answer, err := v.replicas.HandOver(holding, from, m.GetEpoch())
	if err != nil {
		return &vmpb.PairReply{Resigned: answer.Resigned(), HolderEpoch: v.holdings.epoch(holding)}
	}
	v.holdings.become(taken)
	return &vmpb.PairReply{Accepted: true}
}

func (v *Receiver) whoHolds(m *vmpb.WhoHolds) *vmpb.WhoHoldsReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.WhoHoldsReply{}
	}
	reply := &vmpb.WhoHoldsReply{
		Epoch: v.holdings.epoch(holding), SeenEpoch: v.replicas.Seen(holding),
		UptimeMs: v.holdings.uptime().Milliseconds(),
	}
	if reply.GetEpoch() > 0 {
		reply.Holder = v.self.String()
	}
	return reply
}
