package replica

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func refToWire(r hawthornrail.TurnRef) *vmpb.TurnRef {
	return &vmpb.TurnRef{Team: r.Team(), Id: []byte(r.ID())}
}

func refFromWire(m *vmpb.TurnRef) hawthornrail.TurnRef {
	return hawthornrail.NewTurnRef(m.GetTeam(), string(m.GetId()))
}

func refsToWire(refs []hawthornrail.TurnRef) []*vmpb.TurnRef {
	list := make([]*vmpb.TurnRef, 0, len(refs))
	for _, r := range refs {
		list = append(list, refToWire(r))
	}
	return list
}

func refsFromWire(list []*vmpb.TurnRef) []hawthornrail.TurnRef {
	refs := make([]hawthornrail.TurnRef, 0, len(list))
	for _, m := range list {
		refs = append(refs, refFromWire(m))
	}
	return refs
}

func turnToWire(t hawthornrail.Turn) *vmpb.Turn {
	return &vmpb.Turn{
		Ref: refToWire(t.Ref()), Parent: []byte(t.Parent()), PlacementKey: t.PlacementKey(), Input: t.Input(), Output: t.Output(),
		CompletedUnixMs: t.CompletedAt().UnixMilli(), RetainMs: t.Retention().Milliseconds(),
	}
}

func turnFromWire(m *vmpb.Turn) hawthornrail.Turn {
	return hawthornrail.NewTurn(refFromWire(m.GetRef()), m.GetInput(), m.GetOutput()).
		WithParent(string(m.GetParent())).WithPlacementKey(m.GetPlacementKey()).
		WithRetention(time.UnixMilli(m.GetCompletedUnixMs()), time.Duration(m.GetRetainMs())*time.Millisecond)
}
