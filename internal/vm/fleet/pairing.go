package fleet

import (
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/program/pair"
	"hawthornrail.example/hawthornrail/internal/program/replica"
	"hawthornrail.example/hawthornrail/internal/vm/peer"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// servePairing serves the messages that a holder sends to its backup.
func (v *Receiver) servePairing(open *vmpb.Open, s *peer.Stream) {
	switch k := open.GetKind().(type) {
	case *vmpb.Open_PairBeat:
		_ = s.Send(v.heartbeat(k.PairBeat, s.From()))
	case *vmpb.Open_PairOffer:
		_ = s.Send(v.offer(k.PairOffer, s.From()))
	case *vmpb.Open_PairSync:
		_ = s.Send(v.sync(k.PairSync, s.From()))
	case *vmpb.Open_HandOver:
		_ = s.Send(v.handOff(k.HandOver, s.From()))
	case *vmpb.Open_WhoHolds:
		_ = s.Send(v.whoHolds(k.WhoHolds))
	}
}

func (v *Receiver) heartbeat(m *vmpb.PairBeat, from hawthornrail.Instance) *vmpb.PairReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.PairReply{}
	}
	result := v.replicas.Heartbeat(holding, replica.NewHeartbeat(from, m.GetEpoch(), m.GetGrant(), m.GetReclaim()))
	return &vmpb.PairReply{
		Accepted: result.Accepted(), Returned: result.Returned(), Resigned: result.Resigned(),
		HolderEpoch: v.holdings.heldEpoch(holding),
	}
}

func (v *Receiver) offer(m *vmpb.PairOffer, from hawthornrail.Instance) *vmpb.PairReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.PairReply{}
	}
	v.holdings.supersede(holding, m.GetHeld())
	if v.holdings.Holds(holding) {
		return &vmpb.PairReply{HolderEpoch: v.holdings.heldEpoch(holding)}
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
	err = v.replicas.Offer(holding, replica.NewCopyPart(offer, m.GetFirst(), m.GetLast(), trees))
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

func (v *Receiver) handOff(m *vmpb.HandOver, from hawthornrail.Instance) *vmpb.PairReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.PairReply{}
	}
	taken, result, err := v.replicas.AcceptHandoff(holding, from, m.GetEpoch())
	if err != nil {
		return &vmpb.PairReply{Resigned: result.Resigned(), HolderEpoch: v.holdings.heldEpoch(holding)}
	}
	v.holdings.adoptTakeover(taken)
	return &vmpb.PairReply{Accepted: true}
}

func (v *Receiver) whoHolds(m *vmpb.WhoHolds) *vmpb.WhoHoldsReply {
	holding, err := hawthornrail.ParseInstance(m.GetHolding())
	if err != nil {
		return &vmpb.WhoHoldsReply{}
	}
	reply := &vmpb.WhoHoldsReply{
		Epoch: v.holdings.heldEpoch(holding), SeenEpoch: v.replicas.HighestOfferedEpoch(holding),
		UptimeMs: v.holdings.uptime().Milliseconds(),
	}
	if reply.GetEpoch() > 0 {
		reply.Holder = v.self.String()
	}
	return reply
}
