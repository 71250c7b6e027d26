package metrics_test

import (
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

func TestRequests(t *testing.T) {
	registry := gometrics.NewRegistry()
	requests := metrics.NewRequests(registry)
	for _, err := range []error{nil, hawthornrail.NotRun(hawthornrail.CodeRate, "too many")} {
		requests.Begin()
		requests.End(err, time.Millisecond)
	}
	t.Run("names", func(t *testing.T) {
		goldie.New(t).Assert(t, "names", []byte(strings.Join(metrics.Names(registry), "\n")+"\n"))
	})
	t.Run("no request stays in flight", func(t *testing.T) {
		if n := registry.Get("requests.under_way").(gometrics.Counter).Count(); n != 0 {
			t.Errorf("got %d, want 0", n)
		}
	})
}
