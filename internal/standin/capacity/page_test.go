package capacity_test

import (
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"hawthornrail.example/hawthornrail/internal/standin/capacity"
)

const capacityDir = "../../../docs/capacity"

// Guards against a committed page that does not match the committed inputs and
// measurements.
func TestPageIsCurrent(t *testing.T) {
	in, err := capacity.LoadInputs(capacityDir + "/inputs.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(capacityDir + "/bench.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	m, err := capacity.Parse(f)
	if err != nil {
		t.Fatal(err)
	}
	page, err := capacity.Page(in, m)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir(capacityDir), goldie.WithNameSuffix(".md")).Assert(t, "own_interface", []byte(page))
}

func assertAt(t *testing.T, m capacity.Measurements, size, want float64) {
	t.Helper()
	if got, err := m.At("X", "ns/op", size); err != nil || got != want {
		t.Errorf("at %.0f: got %.1f %v, want %.1f", size, got, err, want)
	}
}

func TestMeasurementsInterpolateBetweenSizes(t *testing.T) {
	m, err := capacity.Parse(strings.NewReader("BenchmarkX/n=10-10 5 100 ns/op\nBenchmarkX/n=20-10 5 200 ns/op\nBenchmarkX/n=40-10 5 300 ns/op\n"))
	if err != nil {
		t.Fatal(err)
	}
	t.Run("between two sizes", func(t *testing.T) { assertAt(t, m, 15, 150) })
	t.Run("at a size", func(t *testing.T) { assertAt(t, m, 20, 200) })
	t.Run("beyond the last size", func(t *testing.T) { assertAt(t, m, 60, 400) })
	t.Run("without a measurement", func(t *testing.T) {
		if _, err := m.At("Y", "ns/op", 1); err == nil {
			t.Error("want an error")
		}
	})
}
