// Package catalogue assembles the configuration in force from its parts: routes
// and teams, endpoints and VMs.
package catalogue
