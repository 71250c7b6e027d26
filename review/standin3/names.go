//go:build review

package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names maps what this program calls a header field or a variable to its name on the
// platform's pages.
var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	parsed := make(map[string]string)
	for line := range strings.Lines(text) {
		if key, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			parsed[key] = name
		}
	}
	return parsed
}
