//go:build review

package main

import (
	_ "embed"
	"strings"
)

//go:embed config.json
var configText string

// configWith returns the configuration with texts replaced, in pairs of old and new ones.
func configWith(replaced ...string) string {
	return strings.NewReplacer(replaced...).Replace(configText)
}

// startSmall starts a small deployment: an edge and a storage machine in each zone, and
// workers of both services.
func (b *bed) startSmall(config string) (edges, stores []*machine) {
	b.config(config)
	for _, zone := range b.zones {
		edges = append(edges, b.addEdge(zone))
	}
	for _, zone := range b.zones {
		stores = append(stores, b.addStorage(zone, true))
	}
	b.startAll()
	return edges, stores
}
