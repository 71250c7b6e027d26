package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"

	"github.com/fasthttp/router"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

// quantiles are those of each histogram that are served.
var quantiles = []float64{0.5, 0.95, 0.99}

func (n *Node) serveMetrics() error {
	metrics.Gauge(n.registry, "config.version", func() int64 { return int64(n.catalogue.Snapshot().Revision()) })
	metrics.Gauge(n.registry, "config.age_ms", func() int64 { return n.catalogue.Age().Milliseconds() })
	metrics.Gauge(n.registry, "endpoints", func() int64 { return int64(len(n.catalogue.Snapshot().Endpoints())) })
	metrics.Gauge(n.registry, "log.dropped", n.out.Dropped)
	metrics.Gauge(n.registry, "process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	if n.settings.MetricsAddress() == "" {
		return nil
	}
	l, err := net.Listen("tcp", n.settings.MetricsAddress())
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	r := router.New()
	r.GET("/metrics", func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) { writeText(w, n.registry) })
	})
	server := &fasthttp.Server{Handler: r.Handler, NoDefaultServerHeader: true, Concurrency: maxMetricsConns}
	n.Go(func(context.Context) error { return server.Serve(l) })
	return nil
}

// maxMetricsConns bounds the connections for metrics.
const maxMetricsConns = 16

// writeText writes the metrics one a line: counters and gauges with their
// value, histograms with their count, sum and quantiles.
func writeText(w io.Writer, registry gometrics.Registry) {
	for _, name := range metrics.Names(registry) {
		label := "hawthornrail_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := registry.Get(name).(type) {
		case gometrics.Counter:
			_, _ = fmt.Fprintf(w, "%s %d\n", label, m.Count())
		case gometrics.Gauge:
			_, _ = fmt.Fprintf(w, "%s %d\n", label, m.Value())
		case gometrics.Histogram:
			s := m.Snapshot()
			_, _ = fmt.Fprintf(w, "%s_count %d\n%s_sum %d\n", label, s.Count(), label, s.Sum())
			for i, v := range s.Percentiles(quantiles) {
				_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", label, quantiles[i], v)
			}
		}
	}
}
