// Package account enforces programs' token budgets across all VMs. Each data
// centre has a holder with a share of every budget. Holders transfer tokens to
// each other on request and write every change to a journal on disk before
// relying on it.
package account
