// Package account keeps programs within their token budgets over all VMs. Each
// data centre has a holder with a share of every budget; shares move between
// holders on request, and a holder records every change on its disk before it
// takes effect.
package account
