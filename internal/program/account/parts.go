package account

// minPartCalls is the least number of calls that a part must hold: what a home
// gives away and needs again has to be asked back, call by call.
const minPartCalls = 2

// Parts returns what a home gives to each of the other holders: half of the
// budget in equal parts, so that a program can go on where its home can't be
// reached, or nothing if the parts would hold too few calls.
func Parts(budget, call uint64, others int) []uint64 {
	parts := make([]uint64, others)
	if others == 0 {
		return parts
	}
	part := budget / 2 / uint64(others)
	if part < minPartCalls*max(1, call) {
		return parts
	}
	for i := range parts {
		parts[i] = part
	}
	return parts
}
