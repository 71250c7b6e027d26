// Package ledger implements the replicated record of program trees: the intents
// and outcomes of calls and the remaining budgets. It does no I/O; home and
// backup apply the same steps in the same order.
package ledger
