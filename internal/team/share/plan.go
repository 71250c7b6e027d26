package share

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"

	hawthornrail "hawthornrail.example/hawthornrail"
)

const (
	// wholeFleetVMs is the largest fleet in which every VM holds a part.
	wholeFleetVMs = 9
	// holdersPerTeam is the number of holders in a larger fleet.
	holdersPerTeam = 3
	// minPartBurst keeps a holder's bucket deep enough for whole requests.
	minPartBurst = 2
	// minLentBurst is the same where requests arrive at VMs without a part: what
	// is lent to one of them is missing to the others, and a group of calls
	// arrives at several.
	minLentBurst = 16
)

// Part is a rate in requests per second and a burst in requests.
type Part struct {
	rate  float64
	burst float64
}

// NewPart returns a part of a rate in requests per second and a burst.
func NewPart(rate, burst float64) Part { return Part{rate: rate, burst: burst} }

// Rate returns the requests per second.
func (p Part) Rate() float64 { return p.rate }

// Burst returns the burst in requests.
func (p Part) Burst() float64 { return p.burst }

func (p Part) add(q Part) Part { return Part{p.rate + q.rate, p.burst + q.burst} }
func (p Part) sub(q Part) Part { return Part{p.rate - q.rate, p.burst - q.burst} }
func (p Part) min(q Part) Part { return Part{min(p.rate, q.rate), min(p.burst, q.burst)} }
func (p Part) max(q Part) Part { return Part{max(p.rate, q.rate), max(p.burst, q.burst)} }

// Plan is the division of one deployment's rate and burst over its holders.
type Plan struct {
	fingerprint uint64
	part        Part
	holders     []hawthornrail.VM
}

// NewPlan divides the deployment's rate and burst equally over holders that
// it chooses by rendezvous hashing from the VMs of the configuration, spread
// over the data centres; it must not depend on which VMs answer. A deployment
// without a rate has the zero plan.
func NewPlan(d hawthornrail.Deployment, vms []hawthornrail.VM) Plan {
	holders := choose(d, vms)
	if len(holders) == 0 || d.Rate() <= 0 && d.Burst() <= 0 {
		return Plan{}
	}
	n := float64(len(holders))
	p := Plan{part: Part{d.Rate() / n, d.Burst() / n}, holders: holders}
	h := fnv.New64a()
	var block [16]byte
	binary.BigEndian.PutUint64(block[:8], math.Float64bits(d.Rate()))
	binary.BigEndian.PutUint64(block[8:], math.Float64bits(d.Burst()))
	_, _ = h.Write(block[:])
	for _, v := range holders {
		_, _ = h.Write([]byte(v.Name() + "\x00"))
	}
	p.fingerprint = h.Sum64()
	return p
}

// Fingerprint returns a number that is equal for equal plans only.
func (p Plan) Fingerprint() uint64 { return p.fingerprint }

// Holders returns the VMs with a part, by name.
func (p Plan) Holders() []hawthornrail.VM { return p.holders }

// Rate returns the requests per second of one holder.
func (p Plan) Rate() float64 { return p.part.rate }

// Part returns the part of a VM; it is zero for a VM that is no holder.
func (p Plan) Part(vm string) Part {
	for _, v := range p.holders {
		if v.Name() == vm {
			return p.part
		}
	}
	return Part{}
}

// choose takes the VMs of the lowest scores, each data centre's first before
// any data centre's second.
func choose(d hawthornrail.Deployment, vms []hawthornrail.VM) []hawthornrail.VM {
	scores := make([]uint64, len(vms))
	taken := make([]bool, len(vms))
	seed := hash(d.Name())
	count, least := 0, minPartBurst
	for i, v := range vms {
		scores[i] = mix(seed ^ hash(v.Name()))
		taken[i] = v.Leaving() || !v.HoldsRates()
		if !taken[i] {
			count++
		}
		if v.HoldsForOthers() {
			least = minLentBurst
		}
	}
	if count > wholeFleetVMs {
		count = holdersPerTeam
	}
	count = min(count, max(1, int(d.Burst())/least))
	holders := make([]hawthornrail.VM, 0, count)
	var centres []string
	for len(holders) < count {
		best := lowest(vms, scores, taken, centres)
		if best < 0 {
			centres = centres[:0]
			continue
		}
		taken[best] = true
		centres = append(centres, vms[best].DataCentre())
		holders = append(holders, vms[best])
	}
	slices.SortFunc(holders, func(a, b hawthornrail.VM) int { return cmp.Compare(a.Name(), b.Name()) })
	return holders
}

// lowest returns the VM of the lowest score that is not taken and stands in
// none of the data centres, or -1.
func lowest(vms []hawthornrail.VM, scores []uint64, taken []bool, centres []string) int {
	best := -1
	for i, v := range vms {
		if taken[i] || best >= 0 && scores[i] >= scores[best] || slices.Contains(centres, v.DataCentre()) {
			continue
		}
		best = i
	}
	return best
}

// Offset returns a number below 65,536 that differs between most VMs.
func Offset(vm string) int { return int(mix(hash(vm)) >> 48) }

func hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
