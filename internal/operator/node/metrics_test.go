package node

import (
	"bytes"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

func TestMetricsText(t *testing.T) {
	registry := gometrics.NewRegistry()
	metrics.Gauge(registry, "config.version", func() int64 { return 7 })
	f := metrics.NewForwards(registry)
	f.Ended(hawthornrail.StreamRoute, "team", nil, 2*time.Millisecond)
	f.Attempted("desk", "i-1@a", nil, time.Millisecond)
	var text bytes.Buffer
	writeText(&text, registry)
	goldie.New(t).Assert(t, "text", text.Bytes())
}
