package hawthornrail_test

import (
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
)

func requestOf(team, method, host, path, query, body string) *hawthornrail.ForwardRequest {
	r := hawthornrail.NewForwardRequest(method, host, path+query, path, []byte(body), time.Time{})
	r.Identify(hawthornrail.NewDeployment(team, team, 1))
	return r
}

// Guards against a team whose requests have a digest of another team's, or of
// other content of its own.
func TestDigests(t *testing.T) {
	digests := requestOf("team", "POST", "host", "/path", "?q", "body").Digests()
	for _, c := range []struct {
		name         string
		other        *hawthornrail.ForwardRequest
		sameContent  bool
		sameResource bool
	}{
		{"repeated", requestOf("team", "POST", "host", "/path", "?q", "body"), true, true},
		{"other body", requestOf("team", "POST", "host", "/path", "?q", "other"), false, true},
		{"other query", requestOf("team", "POST", "host", "/path", "?r", "body"), false, true},
		{"other path", requestOf("team", "POST", "host", "/other", "?q", "body"), false, false},
		{"other host", requestOf("team", "POST", "other", "/path", "?q", "body"), false, false},
		{"other method", requestOf("team", "PUT", "host", "/path", "?q", "body"), false, false},
		{"other team", requestOf("other", "POST", "host", "/path", "?q", "body"), false, false},
		{"other division into fields", requestOf("team", "POST", "host", "/path", "?qb", "ody"), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.other.SetID("id")
			c.other.SetHeaders([]hawthornrail.Header{hawthornrail.NewHeader("name", "value")})
			if same := c.other.Digests().Content() == digests.Content(); same != c.sameContent {
				t.Errorf("same content: %t", same)
			}
			if same := c.other.Digests().Resource() == digests.Resource(); same != c.sameResource {
				t.Errorf("same resource: %t", same)
			}
		})
	}
}
