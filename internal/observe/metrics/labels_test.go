package metrics_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	hawthornrail "hawthornrail.example/hawthornrail"
	"hawthornrail.example/hawthornrail/internal/observe/metrics"
)

func assertCount(t *testing.T, registry gometrics.Registry, name string, want int64) {
	t.Helper()
	counter, ok := registry.Get(name).(gometrics.Counter)
	if !ok || counter.Count() != want {
		t.Errorf("%s: got %v, want %d", name, counter, want)
	}
}

func countNames(registry gometrics.Registry, prefix string) int {
	count := 0
	for _, name := range metrics.Names(registry) {
		if strings.HasPrefix(name, prefix) {
			count++
		}
	}
	return count
}

func TestForwards(t *testing.T) {
	t.Run("by kind, team and outcome", func(t *testing.T) {
		registry := gometrics.NewRegistry()
		f := metrics.NewForwards(registry)
		f.Ended(hawthornrail.StreamRoute, `a"b`, nil, time.Millisecond)
		f.Ended(hawthornrail.StreamRoute, `a"b`, nil, time.Millisecond)
		f.Ended("", "", hawthornrail.NotRun(hawthornrail.CodeRate, "too many"), time.Millisecond)
		assertCount(t, registry, `forwards.ended{kind="stream",team="a\"b",outcome="ok"}`, 2)
		assertCount(t, registry, `forwards.ended{kind="none",team="",outcome="rate_limited"}`, 1)
	})
	t.Run("distinct teams are limited", func(t *testing.T) {
		registry := gometrics.NewRegistry()
		f := metrics.NewForwards(registry)
		for n := range 1000 {
			f.Ended(hawthornrail.NonIdempotentRoute, fmt.Sprintf("team%d", n), nil, time.Millisecond)
		}
		if got := countNames(registry, "forwards.ended"); got > 100 {
			t.Errorf("%d counters for 1,000 teams, want 100 at most", got)
		}
		assertCount(t, registry, `forwards.ended{kind="once",team="other",outcome="ok"}`, 936)
	})
	t.Run("least recently used endpoints are evicted", func(t *testing.T) {
		registry := gometrics.NewRegistry()
		f := metrics.NewForwards(registry)
		for n := range 1000 {
			f.Attempted("desk", fmt.Sprintf("e%d", n), errors.New("cut"), time.Millisecond)
			f.Attempted("desk", "e0", nil, time.Millisecond)
		}
		if got := countNames(registry, "endpoint.tries"); got > 512 {
			t.Errorf("%d counters for 1,000 endpoints, want 512 at most", got)
		}
		assertCount(t, registry, `endpoint.tries{endpoint="e0",outcome="ok"}`, 1000)
		assertCount(t, registry, `endpoint.tries{endpoint="e999",outcome="failed"}`, 1)
	})
}
