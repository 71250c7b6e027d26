// Package model simulates model engines that serve a seeded trace of programs
// in virtual time. It replaces real endpoints when scheduling policies are
// compared.
package model
