package bench

import (
	"fmt"
	"math"
	"os"
	"strings"
	"text/template"
)

const (
	plotWidth  = 640.0
	plotHeight = 360.0
	plotMargin = 50.0
	minSeconds = 1.0
	maxSeconds = 10_000.0
)

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
<text x="50" y="20" font-size="13">Program latency in seconds by percentile: {{.Title}}</text>
{{range .Marks}}<line x1="{{.X1}}" y1="{{.Y1}}" x2="{{.X2}}" y2="{{.Y2}}" stroke="#ddd"/><text x="{{.X}}" y="{{.Y}}">{{.Text}}</text>
{{end}}{{range .Curves}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{.Points}}"/><text x="{{.X}}" y="{{.Y}}" fill="{{.Colour}}">{{.Name}}</text>
{{end}}</svg>
`))

type plotMark struct {
	X1, Y1, X2, Y2, X, Y float64
	Text                 string
}

type plotCurve struct {
	Name, Colour, Points string
	X, Y                 float64
}

type plotPage struct {
	Width, Height float64
	Title         string
	Marks         []plotMark
	Curves        []plotCurve
}

func plotX(percentile float64) float64 {
	return plotMargin + percentile/100*(plotWidth-2*plotMargin)
}

func plotY(seconds float64) float64 {
	fraction := math.Log(max(minSeconds, seconds)/minSeconds) / math.Log(maxSeconds/minSeconds)
	return plotHeight - plotMargin - fraction*(plotHeight-2*plotMargin)
}

func (c *scenario) plot(path string) error {
	page := plotPage{Width: plotWidth, Height: plotHeight, Title: c.name}
	for s := minSeconds; s <= maxSeconds; s *= 10 {
		page.Marks = append(page.Marks, plotMark{plotMargin, plotY(s), plotWidth - plotMargin, plotY(s), 8, plotY(s) + 4, fmt.Sprintf("%.0f", s)})
	}
	for p := 0.0; p <= 100; p += 25 {
		page.Marks = append(page.Marks, plotMark{plotX(p), plotMargin, plotX(p), plotHeight - plotMargin, plotX(p) - 8, plotHeight - 30, fmt.Sprintf("p%.0f", p)})
	}
	colours := []string{"#999999", "#cc8800", "#aa44aa", "#2266cc", "#cc2222", "#44aa44"}
	for i, o := range c.outcomes {
		var points strings.Builder
		for p := 1.0; p < 100; p++ {
			_, _ = fmt.Fprintf(&points, "%.1f,%.1f ", plotX(p), plotY(o.result.Latency(p).Seconds()))
		}
		page.Curves = append(page.Curves, plotCurve{o.policy, colours[i%len(colours)], points.String(), plotMargin + 10, plotMargin + 15*float64(i+1)})
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	if err := plotTemplate.Execute(f, page); err != nil {
		return fmt.Errorf("write plot %s: %w", path, err)
	}
	return f.Close()
}
