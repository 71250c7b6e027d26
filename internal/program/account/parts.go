package account

// Parts returns what a home gives to each of the other holders so that every
// share can hold a call of some tokens; those that it does not reach for get
// nothing.
func Parts(budget, call uint64, others int) []uint64 {
	parts := make([]uint64, others)
	shares := min(uint64(others)+1, budget/max(1, call))
	for i := 1; i < int(shares); i++ {
		parts[i-1] = budget / shares
	}
	return parts
}
