package account

// minGrantCalls is the minimum number of calls that a grant of half of the budget must
// cover. Tokens that a home has granted and needs again have to be requested back.
const minGrantCalls = 2

// GrantSizes returns the tokens that a home grants to each of the other holders, so that a
// program can continue without its home: half of the budget in equal parts, or, if these
// would cover too few calls, all but the home's own part, which covers a call. It grants
// nothing if the others together could not cover a call.
func GrantSizes(budget, callTokens uint64, others int) []uint64 {
	grants := make([]uint64, others)
	if others == 0 {
		return grants
	}
	callTokens = max(1, callTokens)
	grant := budget / 2 / uint64(others)
	if grant < minGrantCalls*callTokens {
		own := max(callTokens, budget/uint64(others+1))
		if budget < own+callTokens {
			return grants
		}
		grant = (budget - own) / uint64(others)
	}
	for i := range grants {
		grants[i] = grant
	}
	return grants
}
