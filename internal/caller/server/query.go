package server

import (
	"regexp"
	"strings"

	"github.com/valyala/fasthttp"
)

// keyPattern matches a caller's key anywhere in a text.
var keyPattern = regexp.MustCompile(`hr_[0-9a-f]+_[0-9a-f]+`)

// queryWithoutKeys returns the query of a request target, from its question mark on,
// without the parameters that contain a key; the others are kept as they were sent.
func queryWithoutKeys(target string) string {
	_, query, ok := strings.Cut(target, "?")
	if !ok {
		return ""
	}
	var kept []string
	for parameter := range strings.SplitSeq(query, "&") {
		if !containsKey(parameter) {
			kept = append(kept, parameter)
		}
	}
	if len(kept) == 0 {
		return ""
	}
	return "?" + strings.Join(kept, "&")
}

// containsKey reports whether a parameter contains a key, also an escaped one.
func containsKey(parameter string) bool {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	args.Parse(parameter)
	for name, value := range args.All() {
		if keyPattern.Match(value) || keyPattern.Match(name) {
			return true
		}
	}
	return keyPattern.MatchString(parameter)
}

// redactKeys replaces the keys in a text with a placeholder.
func redactKeys(text string) string { return keyPattern.ReplaceAllString(text, "(key)") }
