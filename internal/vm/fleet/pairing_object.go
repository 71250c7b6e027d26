package fleet

import (
	"context"
	"errors"
	"fmt"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/platform/client"
	"hawthornrail.example/hawthornrail/internal/platform/objects"
	"hawthornrail.example/hawthornrail/internal/program/pair"
)

// readPairing returns the pairing that the platform stores for a holding and
// the version of its object; both are zero if there is no object.
func (o *Holdings) readPairing(ctx context.Context, holding hawthornrail.Instance) (pair.Pairing, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	object, err := o.deps.Platform.Read(ctx, objects.KindHolding, holding.String())
	if errors.Is(err, client.ErrNotFound) {
		return pair.Pairing{}, 0, nil
	}
	if err != nil {
		return pair.Pairing{}, 0, err
	}
	var value objects.Holding
	if err := object.Decode(&value); err != nil {
		return pair.Pairing{}, 0, err
	}
	p, err := pairingFromObject(value)
	return p, object.Version, err
}

func (o *Holdings) writePairing(ctx context.Context, holding hawthornrail.Instance, version uint64, p pair.Pairing) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	value := objects.Holding{Holder: p.Holder().String(), Epoch: p.Epoch()}
	if !p.Backup().IsZero() {
		value.Backup = p.Backup().String()
	}
	_, err := o.deps.Platform.Write(ctx, objects.KindHolding, holding.String(), version, value)
	return err
}

func pairingFromObject(v objects.Holding) (pair.Pairing, error) {
	holder, err := hawthornrail.ParseInstance(v.Holder)
	if err != nil {
		return pair.Pairing{}, fmt.Errorf("holder: %w", err)
	}
	var backup hawthornrail.Instance
	if v.Backup != "" {
		if backup, err = hawthornrail.ParseInstance(v.Backup); err != nil {
			return pair.Pairing{}, fmt.Errorf("backup: %w", err)
		}
	}
	return pair.NewPairing(holder, backup, v.Epoch), nil
}
