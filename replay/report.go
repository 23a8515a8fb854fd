package replay

import (
	"fmt"
	"html"
	"image/color"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// bucket is the interval over which the plots average.
const bucket = 5 * time.Second

// Size of one plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

var seriesColors = []color.Color{color.RGBA{R: 20, G: 90, B: 180, A: 255}, color.RGBA{R: 200, G: 90, B: 20, A: 255}}

// Report writes an HTML page with plots of each scenario over time, under the default policy and the naive baseline.
func Report(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "<!doctype html>\n<meta charset=\"utf-8\">\n<title>bergamot-replay report, seed %d</title>\n", seed)
	fmt.Fprintln(w, "<style>body{font-family:sans-serif;margin:2em}section{margin-bottom:2em}</style>")
	fmt.Fprintf(w, "<h1>bergamot-replay report, seed %d</h1>\n<p>Blue: policy. Orange: naive version. Means over %s.</p>\n", seed, bucket)
	for _, s := range scenarios {
		if err := reportScenario(w, s, seed); err != nil {
			return trace.Wrap(err, "scenario %s", s.name)
		}
	}
	return nil
}

func reportScenario(w io.Writer, s scenario, seed uint64) error {
	f, err := ExampleFleet(s.fleet)
	if err != nil {
		return err
	}
	t := s.generate(f, seed, 1)
	var outcomes []*Outcome
	for _, p := range []Policy{Default, Naive} {
		o, err := Run(f, t, p, seed)
		if err != nil {
			return err
		}
		outcomes = append(outcomes, o)
	}
	fmt.Fprintf(w, "<section><h2>%s</h2>\n", html.EscapeString(s.name))
	for _, g := range graphs {
		if err := drawGraph(w, g, outcomes); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(w, "</section>")
	return err
}

// graph is one plot with one value for each bucket.
type graph struct {
	title, unit string
	value       func(o *Outcome, from, to time.Duration) (float64, bool)
}

var graphs = []graph{
	{"goodput", "requests/s", func(o *Outcome, from, to time.Duration) (float64, bool) {
		n := 0
		for _, r := range o.records {
			if r.completeOnTime() && r.endAt >= from && r.endAt < to {
				n++
			}
		}
		return float64(n) / bucket.Seconds(), true
	}},
	{"first token, p99", "ms", func(o *Outcome, from, to time.Duration) (float64, bool) {
		v := o.firstTokenQuantile(0.99, within(from, to))
		return v, v > 0
	}},
	{"queue time, mean", "ms", meanQueue},
	{"role changes so far", "changes", func(o *Outcome, _, to time.Duration) (float64, bool) {
		n := 0
		for _, t := range o.roleChanges {
			if t < to {
				n++
			}
		}
		return float64(n), true
	}},
}

func within(from, to time.Duration) func(*record) bool {
	return func(r *record) bool { return r.line.At() >= from && r.line.At() < to }
}

// meanQueue returns the mean time in the queue of the entry VM, over requests that were dispatched.
func meanQueue(o *Outcome, from, to time.Duration) (float64, bool) {
	sum, n := 0.0, 0
	for _, r := range o.records {
		if r.starts > 0 && within(from, to)(r) {
			sum += millis(r.queueTime)
			n++
		}
	}
	return sum / float64(max(n, 1)), n > 0
}

func drawGraph(w io.Writer, g graph, outcomes []*Outcome) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = g.title, "s", g.unit
	p.Y.Min = 0
	for i, o := range outcomes {
		var pts plotter.XYs
		for from := time.Duration(0); from < o.length; from += bucket {
			if v, ok := g.value(o, from, from+bucket); ok {
				pts = append(pts, plotter.XY{X: from.Seconds(), Y: v})
			}
		}
		if len(pts) == 0 {
			continue
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color = seriesColors[i]
		p.Add(line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg strings.Builder
	if _, err := canvas.WriteTo(&svg); err != nil {
		return trace.Wrap(err)
	}
	text := svg.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:] // without the XML header
	}
	_, err := io.WriteString(w, text)
	return trace.Wrap(err)
}
