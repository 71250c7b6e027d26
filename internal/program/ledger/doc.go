// Package ledger is the replicated record of program trees: which calls were
// intended, what came of them and what budget is left. It does no I/O; home
// and backup apply the same steps in the same order.
package ledger
