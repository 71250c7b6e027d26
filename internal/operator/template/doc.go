// Package template parses operators' templates and deployment files, renders
// deployments and checks them against the whole configuration. It does no I/O.
package template
