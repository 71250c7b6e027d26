// Package model is a queueing model of model engines under a seeded trace of
// programs, in virtual time; it stands for the endpoints when the policy is
// measured.
package model
