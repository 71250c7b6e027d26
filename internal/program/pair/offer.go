package pair

// Offer is the offer of a full copy to the backup of a later pairing.
type Offer struct {
	next Pairing
	// epoch is that of the offering instance's pairing in force.
	epoch uint64
}

// NewOffer returns the offer of a holder whose pairing in force has the
// given epoch.
func NewOffer(next Pairing, epoch uint64) Offer { return Offer{next: next, epoch: epoch} }

// Next returns the pairing that the copy is prepared for.
func (o Offer) Next() Pairing { return o.next }

// Epoch returns the epoch of the offering instance's pairing in force.
func (o Offer) Epoch() uint64 { return o.epoch }

// Replaces reports whether the offer may replace the copy that belongs to b: a
// delayed offer and one of a superseded holder may not.
func (o Offer) Replaces(b *Backup) bool {
	switch {
	case b == nil || b.superseded || o.epoch > b.pairing.epoch:
		return true
	case b.takingOver:
		return false
	case o.next.holder == b.pairing.holder:
		return o.next.epoch > b.pairing.epoch
	default:
		return !b.active && o.epoch > b.holderEpoch
	}
}
