package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"

	"github.com/fasthttp/router"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

// quantiles are the quantiles that are exported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

func (n *Node) serveMetrics() error {
	metrics.Gauge(n.registry, "config.version", func() int64 { return int64(n.catalogue.Snapshot().Revision()) })
	metrics.Gauge(n.registry, "config.age_ms", func() int64 { return n.catalogue.Age().Milliseconds() })
	metrics.Gauge(n.registry, "endpoints", func() int64 { return int64(len(n.catalogue.Snapshot().Endpoints())) })
	metrics.Gauge(n.registry, "quarantine.digests", func() int64 { return int64(n.suspects.Quarantined()) })
	metrics.Gauge(n.registry, "log.dropped", n.logSink.Dropped)
	metrics.Gauge(n.registry, "log.failed", n.logSink.Failed)
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

// maxMetricsConns bounds the number of open connections to the metrics server.
const maxMetricsConns = 16

// metricNames replaces the characters that metric names may not contain in the
// text format.
var metricNames = strings.NewReplacer(".", "_", "-", "_")

// writeText writes the metrics in the text format, one sample per line: the
// value of each counter and gauge, and the count, sum and quantiles of each
// histogram.
func writeText(w io.Writer, registry gometrics.Registry) {
	for _, registered := range metrics.Names(registry) {
		name, labels, _ := strings.Cut(strings.TrimSuffix(registered, "}"), "{")
		name = "hawthornrail_" + metricNames.Replace(name)
		switch m := registry.Get(registered).(type) {
		case gometrics.Counter:
			writeSample(w, name, labels, float64(m.Count()))
		case gometrics.Gauge:
			writeSample(w, name, labels, float64(m.Value()))
		case gometrics.Histogram:
			writeHistogram(w, name, labels, m.Snapshot())
		}
	}
}

func writeHistogram(w io.Writer, name, labels string, h gometrics.Histogram) {
	writeSample(w, name+"_count", labels, float64(h.Count()))
	writeSample(w, name+"_sum", labels, float64(h.Sum()))
	for i, v := range h.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=\"%g\"", quantiles[i])
		if labels != "" {
			quantile = labels + "," + quantile
		}
		writeSample(w, name, quantile, v)
	}
}

func writeSample(w io.Writer, name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	// A failed write means that the client has closed the connection.
	_, _ = fmt.Fprintf(w, "%s%s %s\n", name, labels, strconv.FormatFloat(value, 'f', -1, 64))
}
