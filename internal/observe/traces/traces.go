package traces

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	traceFileMode = 0o600
	parentHeader  = "traceparent"
)

// Tracer starts spans and exports them.
type Tracer struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
}

// NewNoop returns a tracer that discards all spans.
func NewNoop() *Tracer {
	return &Tracer{
		tracer:   noop.NewTracerProvider().Tracer(""),
		shutdown: func(context.Context) error { return nil },
	}
}

// NewFile returns a tracer that appends spans to a file as JSON.
func NewFile(path string) (*Tracer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	return newTracer(exporter), nil
}

// NewOTLP returns a tracer that sends spans to an OTLP/HTTP collector at an
// IP address and port.
func NewOTLP(ctx context.Context, address string) (*Tracer, error) {
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(address), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, fmt.Errorf("trace exporter: %w", err)
	}
	return newTracer(exporter), nil
}

func newTracer(exporter sdktrace.SpanExporter) *Tracer {
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return &Tracer{tracer: provider.Tracer("hawthornrail"), shutdown: provider.Shutdown}
}

// Start starts the span of a hop; the caller ends it with Finish.
func (t *Tracer) Start(ctx context.Context, hop string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, hop)
}

// Finish ends a span with the request's error, if any.
func Finish(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
	}
	span.End()
}

// Close exports the remaining spans and shuts the exporter down.
func (t *Tracer) Close(ctx context.Context) error { return t.shutdown(ctx) }

// Traceparent returns the traceparent value of ctx to send to the next hop.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get(parentHeader)
}

// WithTraceparent returns ctx with the trace context from the traceparent value
// that the previous hop sent; an empty value leaves ctx unchanged.
func WithTraceparent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentHeader: parent})
}
