package account

// minGrantCalls is the minimum number of calls that a grant must cover. Tokens
// that a home has granted and needs again have to be requested back, call by
// call.
const minGrantCalls = 2

// GrantSizes returns the tokens that a home grants to each of the other holders:
// half of the budget in equal parts, so that a program can continue where its
// home is unreachable, or nothing if a grant would cover too few calls.
func GrantSizes(budget, callTokens uint64, others int) []uint64 {
	grants := make([]uint64, others)
	if others == 0 {
		return grants
	}
	grant := budget / 2 / uint64(others)
	if grant < minGrantCalls*max(1, callTokens) {
		return grants
	}
	for i := range grants {
		grants[i] = grant
	}
	return grants
}
