package convert

import (
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

// TurnRefToWire returns the message of a turn's identity.
func TurnRefToWire(r hawthornrail.TurnRef) *vmpb.TurnRef {
	return &vmpb.TurnRef{Team: r.Team(), Id: []byte(r.ID())}
}

// TurnRefFromWire returns the turn's identity of a message.
func TurnRefFromWire(m *vmpb.TurnRef) hawthornrail.TurnRef {
	return hawthornrail.NewTurnRef(m.GetTeam(), string(m.GetId()))
}

// TurnToWire returns the message of a turn.
func TurnToWire(t hawthornrail.Turn) *vmpb.Turn {
	return &vmpb.Turn{
		Ref: TurnRefToWire(t.Ref()), Parent: []byte(t.Parent()), PlacementKey: t.PlacementKey(), Input: t.Input(), Output: t.Output(),
		CompletedUnixMs: t.CompletedAt().UnixMilli(), RetainMs: t.Retention().Milliseconds(),
	}
}

// TurnFromWire returns the turn of a message.
func TurnFromWire(m *vmpb.Turn) hawthornrail.Turn {
	return hawthornrail.NewTurn(TurnRefFromWire(m.GetRef()), m.GetInput(), m.GetOutput()).
		WithParent(string(m.GetParent())).WithPlacementKey(m.GetPlacementKey()).
		WithRetention(time.UnixMilli(m.GetCompletedUnixMs()), time.Duration(m.GetRetainMs())*time.Millisecond)
}
