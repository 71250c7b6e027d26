package server

import (
	"regexp"

	"github.com/valyala/fasthttp"
)

// keyPattern matches a caller's key wherever it stands.
var keyPattern = regexp.MustCompile(`hr_[0-9a-f]+_[0-9a-f]+`)

// query returns the query string without the parameters that carry a key.
func query(ctx *fasthttp.RequestCtx) string {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	for name, value := range ctx.QueryArgs().All() {
		if !keyPattern.Match(value) && !keyPattern.Match(name) {
			args.AddBytesKV(name, value)
		}
	}
	if args.Len() == 0 {
		return ""
	}
	return "?" + args.String()
}

// withoutKeys returns a text without the keys that stood in it.
func withoutKeys(text string) string { return keyPattern.ReplaceAllString(text, "(key)") }
