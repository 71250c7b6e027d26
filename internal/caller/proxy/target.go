package proxy

import (
	"strings"

	"github.com/valyala/fasthttp"
	hawthornrail "hawthornrail.example/hawthornrail"
)

// target returns the host that a caller addressed, and the path with its query as the
// caller sent them; parsing them would decode and join parts of the path.
func target(h *fasthttp.RequestHeader) (host, uri string, err error) {
	uri = string(h.RequestURI())
	if strings.HasPrefix(uri, "/") {
		return strings.ToLower(string(h.Host())), uri, nil
	}
	scheme, rest, ok := strings.Cut(uri, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return "", "", hawthornrail.NotRun(hawthornrail.CodeBadRequest, "the target is neither a path nor a URL")
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return strings.ToLower(rest), "/", nil
	}
	host, uri = strings.ToLower(rest[:end]), rest[end:]
	if uri[0] == '?' {
		uri = "/" + uri
	}
	return host, uri, nil
}
