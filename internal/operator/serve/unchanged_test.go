package serve_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"hawthornrail.example/hawthornrail/internal/standin/service"
	"hawthornrail.example/hawthornrail/internal/standin/testbed"
)

// lastArrival returns the last request that a service received.
func lastArrival(bed *testbed.Bed) (last service.Arrival) {
	for _, s := range bed.Services {
		for _, a := range s.Arrivals() {
			if a.At.After(last.At) {
				last = a
			}
		}
	}
	return last
}

// Guards against review case 2 on the own interface: a call that reaches its service with
// another path, query or body.
func TestServiceCallIsCarriedUnchanged(t *testing.T) {
	bed := testbed.New(t, testbed.Options{DataCentres: 1, VMs: 2, Engines: 1, Services: 1})
	form := strings.ReplaceAll("--b\nX-Other: kept\nContent-Disposition: form-data; name=\"n\"\n\ntext\n--b--\n", "\n", "\r\n")
	for n, c := range []struct{ method, path, want, contentType, body string }{
		{"POST", "/a//b/../c", "/a//b/../c", "application/json", "{}"},
		{"PUT", "/%2e%2E/a%2Fb", "/%2e%2E/a%2Fb", "text/plain", "text"},
		{"POST", "/a?b=%2B+%20&&c&a=2&a=1", "/a?b=%2B+%20&&c&a=2&a=1", "application/x-www-form-urlencoded", "b=2&a=1&&a=%2b+%20"},
		{"DELETE", "/a?", "/a?", "", ""},
		{"POST", "/a?x=%20&key=" + bed.Key + "&y=%2b", "/a?x=%20&y=%2b", "multipart/form-data; boundary=b", form},
	} {
		t.Run(c.path, func(t *testing.T) {
			text := fmt.Sprintf("%s /v1/services/%s%s HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
				c.method, testbed.Service, c.path, bed.Key, c.contentType, len(c.body), c.body)
			if status, _ := sendRaw(t, bed.VMs[n%2], text); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			a := lastArrival(bed)
			if a.Method != c.method || a.URI != c.want || string(a.Body) != c.body {
				t.Errorf("%s %q with %q arrived", a.Method, a.URI, a.Body)
			}
		})
	}
}
