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
	// maxVMsAllHolders is the size of the largest fleet in which every VM holds
	// a share.
	maxVMsAllHolders = 9
	// holdersPerTeam is the number of holders in a larger fleet.
	holdersPerTeam = 3
	// minShareBurst keeps a holder's bucket deep enough for whole requests.
	minShareBurst = 2
	// minLendingBurst replaces minShareBurst where requests arrive at VMs
	// without a share: the calls of one group arrive at several of these VMs,
	// and the tokens lent to one are not available to the others.
	minLendingBurst = 16
)

// Share is a VM's share of a team's rate, in requests per second, and of its
// burst, in requests.
type Share struct {
	rate  float64
	burst float64
}

// NewShare returns a share of a rate in requests per second and of a burst.
func NewShare(rate, burst float64) Share { return Share{rate: rate, burst: burst} }

// Rate returns the requests per second.
func (s Share) Rate() float64 { return s.rate }

// Burst returns the burst in requests.
func (s Share) Burst() float64 { return s.burst }

func (s Share) add(t Share) Share { return Share{s.rate + t.rate, s.burst + t.burst} }
func (s Share) sub(t Share) Share { return Share{s.rate - t.rate, s.burst - t.burst} }
func (s Share) min(t Share) Share { return Share{min(s.rate, t.rate), min(s.burst, t.burst)} }
func (s Share) max(t Share) Share { return Share{max(s.rate, t.rate), max(s.burst, t.burst)} }

// Plan is the division of one deployment's rate and burst over its holders.
type Plan struct {
	fingerprint uint64
	share       Share
	holders     []hawthornrail.VM
}

// NewPlan divides the deployment's rate and burst equally over holders that it
// chooses from the configured VMs by rendezvous hashing, spread over the data
// centres. The choice must not depend on which VMs respond. A deployment
// without a rate has the zero plan.
func NewPlan(d hawthornrail.Deployment, vms []hawthornrail.VM) Plan {
	holders := chooseHolders(d, vms)
	if len(holders) == 0 || d.Rate() <= 0 && d.Burst() <= 0 {
		return Plan{}
	}
	n := float64(len(holders))
	p := Plan{share: Share{d.Rate() / n, d.Burst() / n}, holders: holders}
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

// Fingerprint returns a hash that is equal for equal plans only; it is 0 for
// the zero plan.
func (p Plan) Fingerprint() uint64 { return p.fingerprint }

// Holders returns the VMs with a share, sorted by name.
func (p Plan) Holders() []hawthornrail.VM { return p.holders }

// HolderRate returns the requests per second of one holder's share.
func (p Plan) HolderRate() float64 { return p.share.rate }

// Share returns the share of a VM; it is zero for a VM that is not a holder.
func (p Plan) Share(vm string) Share {
	for _, v := range p.holders {
		if v.Name() == vm {
			return p.share
		}
	}
	return Share{}
}

// chooseHolders returns the VMs with the lowest scores, one from each data
// centre before a second from any of them.
func chooseHolders(d hawthornrail.Deployment, vms []hawthornrail.VM) []hawthornrail.VM {
	scores := make([]uint64, len(vms))
	excluded := make([]bool, len(vms))
	seed := hash(d.Name())
	count, minBurst := 0, minShareBurst
	for i, v := range vms {
		scores[i] = mix(seed ^ hash(v.Name()))
		excluded[i] = v.Draining() || !v.HoldsRates()
		if !excluded[i] {
			count++
		}
		if v.HasBorrowers() {
			minBurst = minLendingBurst
		}
	}
	if count > maxVMsAllHolders {
		count = holdersPerTeam
	}
	count = min(count, max(1, int(d.Burst())/minBurst))
	holders := make([]hawthornrail.VM, 0, count)
	var usedCentres []string
	for len(holders) < count {
		next := lowestScore(vms, scores, excluded, usedCentres)
		if next < 0 {
			usedCentres = usedCentres[:0]
			continue
		}
		excluded[next] = true
		usedCentres = append(usedCentres, vms[next].DataCentre())
		holders = append(holders, vms[next])
	}
	slices.SortFunc(holders, func(a, b hawthornrail.VM) int { return cmp.Compare(a.Name(), b.Name()) })
	return holders
}

// lowestScore returns the index of the VM with the lowest score that is neither
// excluded nor in one of the used data centres, or -1.
func lowestScore(vms []hawthornrail.VM, scores []uint64, excluded []bool, usedCentres []string) int {
	best := -1
	for i, v := range vms {
		if excluded[i] || best >= 0 && scores[i] >= scores[best] || slices.Contains(usedCentres, v.DataCentre()) {
			continue
		}
		best = i
	}
	return best
}

// Offset returns a hash below 65,536 that differs between most VMs.
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
