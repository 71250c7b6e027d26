// Package unlisted tracks the entry VMs that serve callers although the platform does not list
// them, such as those that have started while its store is away. VMs tell each other of them.
package unlisted
