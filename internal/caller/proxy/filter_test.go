package proxy_test

import (
	"context"
	"testing"
	"time"

	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/caller/proxy"
)

// emptyConfig is a configuration without routes.
type emptyConfig struct{ revision uint64 }

func (c emptyConfig) Snapshot() *hawthornrail.Snapshot {
	return hawthornrail.NewSnapshot(c.revision, nil, nil, nil, nil)
}

func (emptyConfig) Age() time.Duration { return 0 }

type freshness struct{ usable, current bool }

func (f freshness) Usable() bool  { return f.usable }
func (f freshness) Current() bool { return f.current }

// Guards against CONFIG: a VM whose configuration may have been replaced refuses for
// good what the later version allows.
func TestOnlyCurrentConfigurationRefusesForGood(t *testing.T) {
	cases := []struct {
		name      string
		revision  uint64
		freshness freshness
		want      hawthornrail.Code
		temporary bool
	}{
		{"current", 5, freshness{usable: true, current: true}, hawthornrail.CodeUnknownRoute, false},
		{"not confirmed recently", 5, freshness{usable: true}, hawthornrail.CodeConfigStale, true},
		{"not confirmed since the start", 5, freshness{}, hawthornrail.CodeConfigStale, true},
		{"none", 0, freshness{usable: true, current: true}, hawthornrail.CodeConfigStale, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			filter := proxy.NewIdentify(emptyConfig{c.revision}, c.freshness)
			r := hawthornrail.NewForwardRequest("GET", "a.example", "/x", "/x", nil, time.Time{})
			_, err := filter.Filter(context.Background(), r, nil)
			f := hawthornrail.AsFailure(err)
			if f.Code() != c.want || f.Verdict() != hawthornrail.VerdictNotRun || (f.RetryAfter() > 0) != c.temporary {
				t.Errorf("got %v, retry after %v; want %s", err, f.RetryAfter(), c.want)
			}
		})
	}
}
