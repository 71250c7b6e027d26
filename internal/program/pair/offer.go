package pair

// Offer is a copy offered to the backup of a later pairing.
type Offer struct {
	next Pairing
	held uint64
}

// NewOffer returns the offer of a holder whose pairing in force has epoch
// held.
func NewOffer(next Pairing, held uint64) Offer { return Offer{next: next, held: held} }

// Next returns the pairing that the copy is prepared for.
func (o Offer) Next() Pairing { return o.next }

// Held returns the epoch that the offering instance holds.
func (o Offer) Held() uint64 { return o.held }

// Replaces reports whether the offer may replace the copy that b decides for:
// a late offer may not, nor one of a holder that was superseded.
func (o Offer) Replaces(b *Backup) bool {
	switch {
	case b == nil || b.superseded || o.held > b.pairing.epoch:
		return true
	case b.taking:
		return false
	case o.next.holder == b.pairing.holder:
		return o.next.epoch > b.pairing.epoch
	default:
		return !b.active && o.held > b.held
	}
}
