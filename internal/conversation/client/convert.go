package client

import (
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func refToWire(r hawthornrail.TurnRef) *vmpb.TurnRef {
	return &vmpb.TurnRef{Team: r.Team(), Id: []byte(r.ID())}
}

func turnToWire(t hawthornrail.Turn) *vmpb.Turn {
	return &vmpb.Turn{
		Ref: refToWire(t.Ref()), Parent: []byte(t.Parent()), PlacementKey: t.PlacementKey(), Input: t.Input(), Output: t.Output(),
		CompletedUnixMs: t.CompletedAt().UnixMilli(), RetainMs: t.Retention().Milliseconds(),
	}
}
