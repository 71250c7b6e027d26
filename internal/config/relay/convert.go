package relay

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"hawthornrail.example/hawthornrail/internal/config/controller"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func followFrom(revision uint64) *vmpb.Open {
	return &vmpb.Open{Kind: &vmpb.Open_ConfigFollow{ConfigFollow: &vmpb.ConfigFollow{Revision: revision}}}
}

// notify sends a message that has no reply.
func (r *Relay) notify(address string, open *vmpb.Open) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	m, _ := proto.Clone(open).(*vmpb.Open)
	if e, err := r.client.Open(ctx, address, m); err == nil {
		e.Close()
	}
}

func toWire(u controller.Update) *vmpb.ConfigChanges {
	m := &vmpb.ConfigChanges{Since: u.Since, Revision: u.Revision, Full: u.Full, AgeMs: u.Age.Milliseconds()}
	for _, o := range u.Objects {
		m.Objects = append(m.Objects, &vmpb.ConfigObject{
			Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value,
		})
	}
	return m
}

func fromWire(m *vmpb.ConfigChanges) controller.Update {
	u := controller.Update{
		Since: m.GetSince(), Revision: m.GetRevision(), Full: m.GetFull(),
		Age: time.Duration(m.GetAgeMs())*time.Millisecond + hopAge,
	}
	for _, o := range m.GetObjects() {
		u.Objects = append(u.Objects, objects.Object{
			Kind: o.GetKind(), Name: o.GetName(), Version: o.GetVersion(), Deleted: o.GetDeleted(), Value: o.GetValue(),
		})
	}
	return u
}
