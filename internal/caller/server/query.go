package server

import (
	"regexp"

	"github.com/valyala/fasthttp"
)

// keyPattern matches a caller's key anywhere in a text.
var keyPattern = regexp.MustCompile(`hr_[0-9a-f]+_[0-9a-f]+`)

// queryWithoutKeys returns the query string without the parameters that contain
// a key.
func queryWithoutKeys(ctx *fasthttp.RequestCtx) string {
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

// redactKeys replaces the keys in a text with a placeholder.
func redactKeys(text string) string { return keyPattern.ReplaceAllString(text, "(key)") }
