package hawthornrail_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

func requestOf(team, method, host, uri, body string) *hawthornrail.ForwardRequest {
	r := hawthornrail.NewForwardRequest(method, host, uri, uri, []byte(body), time.Time{})
	r.Identify(hawthornrail.NewDeployment(team, team, 1))
	return r
}

// Guards against a team whose requests have the digest of another team's, or of
// other content of its own.
func TestContent(t *testing.T) {
	r := requestOf("team", "POST", "host", "/path", "body")
	t.Run("header fields and ids do not count", func(t *testing.T) {
		again := requestOf("team", "POST", "host", "/path", "body")
		again.SetID("other")
		again.SetHeaders([]hawthornrail.Header{hawthornrail.NewHeader("name", "value")})
		if again.Content() != r.Content() {
			t.Error("digests differ")
		}
	})
	for _, c := range []struct {
		name  string
		other *hawthornrail.ForwardRequest
	}{
		{"team", requestOf("other", "POST", "host", "/path", "body")},
		{"method", requestOf("team", "PUT", "host", "/path", "body")},
		{"host", requestOf("team", "POST", "other", "/path", "body")},
		{"path", requestOf("team", "POST", "host", "/other", "body")},
		{"body", requestOf("team", "POST", "host", "/path", "other")},
		{"division into fields", requestOf("team", "POST", "host", "/pathb", "ody")},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.other.Content() == r.Content() {
				t.Error("digests are equal")
			}
		})
	}
}
