package proxy

import (
	"bytes"
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

// chunked is the only transfer encoding that a request may have.
const chunked = "chunked"

// checkFraming returns a failure unless the length of a request is given in one way only:
// a VM in between could read another length, and take the rest for a request of its own.
func checkFraming(h *fasthttp.RequestHeader) error {
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte{'\n'}) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch {
		case strings.EqualFold(string(name), fasthttp.HeaderContentLength):
			lengths++
		case strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding):
			encodings++
			if encoding := string(bytes.TrimSpace(value)); !strings.EqualFold(encoding, chunked) {
				return hawthornrail.NotRun(hawthornrail.CodeBadRequest, "transfer encoding %q is not supported", encoding)
			}
		}
	}
	if lengths > 0 && encodings > 0 {
		return hawthornrail.NotRun(hawthornrail.CodeBadRequest, "the request has both a length and a transfer encoding")
	}
	return nil
}
