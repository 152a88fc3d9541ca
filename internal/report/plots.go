package report

import (
	"image/color"
	"slices"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"bergamotstall/internal/loadgen"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 14 * vg.Millimeter / 2
)

var (
	blueColor  = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	redColor   = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	greenColor = color.RGBA{R: 44, G: 160, B: 44, A: 255}
	greyColor  = color.RGBA{R: 150, G: 150, B: 150, A: 255}
)

// series is one line of a plot over the seconds of a run.
type series struct {
	name  string
	color color.Color
	value func(loadgen.Second) float64
}

func plotLatencies(path string, p Page) error {
	return plotSeconds(path, p, "Answer times (downloads and submissions)", "ms", []series{
		{"p50", blueColor, func(s loadgen.Second) float64 { return s.P50().Seconds() * 1000 }},
		{"p99", redColor, func(s loadgen.Second) float64 { return s.P99().Seconds() * 1000 }},
	})
}

func plotFailures(path string, p Page) error {
	return plotSeconds(path, p, "Broken flows, cut and refused requests", "a second", []series{
		{"flows broken", redColor, func(s loadgen.Second) float64 { return float64(s.Broken) }},
		{"requests cut", blueColor, func(s loadgen.Second) float64 { return float64(s.Cut) }},
		{"requests refused", greenColor, func(s loadgen.Second) float64 { return float64(s.Refused) }},
	})
}

// plotSeconds saves a plot of the given series against the seconds of a run, with a
// labelled vertical line at the time of each of the page's marks.
func plotSeconds(path string, p Page, title, unit string, lines []series) error {
	pl := plot.New()
	pl.Title.Text = title
	pl.X.Label.Text = "seconds"
	pl.Y.Label.Text = unit
	pl.Y.Min = 0
	pl.Legend.Top = true
	maxY := 1.0
	for _, s := range lines {
		points := make(plotter.XYs, len(p.Seconds))
		for i, sec := range p.Seconds {
			points[i] = plotter.XY{X: float64(sec.At), Y: s.value(sec)}
			maxY = max(maxY, points[i].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "report: line")
		}
		line.Color = s.color
		pl.Add(line)
		pl.Legend.Add(s.name, line)
	}
	if err := addMarks(pl, p.Marks, maxY); err != nil {
		return err
	}
	pl.Y.Max = maxY * 1.1
	return save(pl, path)
}

// addMarks draws a dashed grey line with its text at the time of each mark. Texts are at
// one of eight heights in turn, so that those of marks close together don't overlap.
func addMarks(pl *plot.Plot, marks []loadgen.Mark, maxY float64) error {
	if len(marks) == 0 {
		return nil
	}
	var at plotter.XYs
	var texts []string
	for i, m := range marks {
		x := m.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: maxY}})
		if err != nil {
			return errors.Wrap(err, "report: mark")
		}
		line.Color = greyColor
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		pl.Add(line)
		at = append(at, plotter.XY{X: x, Y: maxY * (1 - 0.07*float64(i%8))})
		texts = append(texts, m.Name)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: at, Labels: texts})
	if err != nil {
		return errors.Wrap(err, "report: labels")
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Font.Size = vg.Points(7)
		labels.TextStyle[i].XAlign = draw.XLeft
	}
	pl.Add(labels)
	return nil
}

// plotWorkPerTarget draws a bar for each target, as high as the requests that it ran.
func plotWorkPerTarget(path string, p Page) error {
	pl := plot.New()
	pl.Title.Text = "Work per target"
	pl.Y.Label.Text = "requests run"
	values := make(plotter.Values, len(p.Shares))
	names := make([]string, len(p.Shares))
	for i, s := range p.Shares {
		values[i] = float64(s.Runs)
		names[i] = s.Host
	}
	if len(values) > 0 {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Wrap(err, "report: bars")
		}
		bars.Color = blueColor
		pl.Add(bars)
		pl.NominalX(names...)
		pl.X.Tick.Label.Rotation = 0.6
		pl.X.Tick.Label.XAlign = draw.XRight
	}
	pl.Y.Min = 0
	return save(pl, path)
}

// PlotGains saves a bar chart with one bar for each policy. gains[i] is how much larger the
// mean worth of the policy names[i] is than that of the policy in use; a worth is from 0
// (no request served) to 1 (all served in time). The bars are in hundredths.
func PlotGains(path string, names []string, gains []float64) error {
	pl := plot.New()
	pl.Title.Text = "Worth of what callers get, against the policy in use"
	pl.X.Label.Text = "gain, in hundredths"
	values := make(plotter.Values, len(gains))
	for i, g := range gains {
		values[len(gains)-1-i] = 100 * g
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return errors.Wrap(err, "report: bars")
	}
	bars.Horizontal = true
	bars.Color = blueColor
	pl.Add(bars)
	labels := slices.Clone(names)
	slices.Reverse(labels)
	pl.NominalY(labels...)
	return save(pl, path)
}

func save(pl *plot.Plot, path string) error {
	if err := pl.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "report: plot")
	}
	return nil
}
