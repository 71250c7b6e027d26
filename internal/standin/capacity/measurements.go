package capacity

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// point is one measurement of a benchmark at one size.
type point struct {
	name  string
	size  float64
	value float64
}

// Measurements holds the results of a benchmark run by benchmark and unit.
type Measurements struct {
	points map[series][]point
}

// series identifies the results of one benchmark in one unit.
type series struct {
	benchmark string
	unit      string
}

// Parse reads the output of go test -bench.
func Parse(r io.Reader) (Measurements, error) {
	m := Measurements{points: make(map[series][]point)}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		if err := m.add(fields); err != nil {
			return m, err
		}
	}
	if err := scanner.Err(); err != nil {
		return m, fmt.Errorf("read benchmarks: %w", err)
	}
	return m, nil
}

func (m Measurements) add(fields []string) error {
	name, _, _ := strings.Cut(strings.TrimPrefix(fields[0], "Benchmark"), "-")
	name, parameter, _ := strings.Cut(name, "/")
	size := 0.0
	if _, number, ok := strings.Cut(parameter, "="); ok {
		n, err := strconv.ParseFloat(number, 64)
		if err != nil {
			return fmt.Errorf("benchmark %s: %w", fields[0], err)
		}
		size = n
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("benchmark %s: %w", fields[0], err)
		}
		k := series{name, fields[i+1]}
		m.points[k] = append(m.points[k], point{name, size, value})
	}
	return nil
}

// At returns the value of a benchmark at a size, interpolated linearly between
// the nearest measured sizes, or extrapolated linearly beyond them.
func (m Measurements) At(benchmark, unit string, size float64) (float64, error) {
	points := slices.Clone(m.points[series{benchmark, unit}])
	if len(points) == 0 {
		return 0, fmt.Errorf("no measurement of %s in %s", benchmark, unit)
	}
	if len(points) == 1 {
		return points[0].value, nil
	}
	slices.SortFunc(points, func(a, b point) int { return int(a.size - b.size) })
	i := 1
	for i < len(points)-1 && points[i].size < size {
		i++
	}
	a, b := points[i-1], points[i]
	return a.value + (size-a.size)*(b.value-a.value)/(b.size-a.size), nil
}
