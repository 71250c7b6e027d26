// Package rate counts requests against the teams' rates.
package rate
