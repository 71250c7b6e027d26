package replica

import (
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/vm/convert"
	"hawthornrail.example/hawthornrail/internal/wire/vmpb"
)

func refsToWire(refs []hawthornrail.TurnRef) []*vmpb.TurnRef {
	list := make([]*vmpb.TurnRef, 0, len(refs))
	for _, r := range refs {
		list = append(list, convert.TurnRefToWire(r))
	}
	return list
}

func refsFromWire(list []*vmpb.TurnRef) []hawthornrail.TurnRef {
	refs := make([]hawthornrail.TurnRef, 0, len(list))
	for _, m := range list {
		refs = append(refs, convert.TurnRefFromWire(m))
	}
	return refs
}
