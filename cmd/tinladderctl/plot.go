package main

import (
	"image/color"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// The size of a plot on paper.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// legendPadding keeps the legend's lines apart from each other and from the frame.
	legendPadding = 1.5 * vg.Millimeter
	// plotHead is how much of the height is left above the highest point, for the legend.
	plotHead = 0.25
)

// The colours can be told apart by those who do not see red from green.
var (
	servedColor  = color.RGBA{R: 0, G: 114, B: 178, A: 255}
	refusedColor = color.RGBA{R: 230, G: 159, B: 0, A: 255}
	failedColor  = color.RGBA{R: 213, G: 70, B: 0, A: 255}
)

// drawable says whether a plot can be drawn into a file of that name.
func drawable(file string) bool {
	return slices.Contains([]string{".png", ".svg"}, strings.ToLower(filepath.Ext(file)))
}

// reportPlot draws from the nodes' logs what became of requests by the second.
func reportPlot(o *output, cmd *reportCmd) (err error) {
	defer func() { err = errors.Wrap(err, "plot") }()
	r := trace.NewRates(time.Now().Add(-cmd.Since))
	if err := readLogs(o, cmd.Logs, r.Add); err != nil {
		return err
	}
	list, err := r.All()
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return errors.Newf("no line of the last %s tells of requests; see --since", cmd.Since)
	}
	if err := draw(cmd.Plot, list); err != nil {
		return err
	}
	o.line("%s: %d seconds from %s to %s", cmd.Plot, len(list), list[0].At.Format(time.RFC3339), list[len(list)-1].At.Format(time.RFC3339))
	return nil
}

// draw draws the counts into the file, whose name says as what.
func draw(file string, list []trace.Rate) error {
	p := plot.New()
	p.Title.Text = "Requests by second, as the nodes' logs tell"
	p.X.Label.Text = "time (UTC)"
	p.Y.Label.Text = "requests a second"
	p.X.Tick.Marker = plot.TimeTicks{Format: time.TimeOnly, Time: plot.UTCUnixTime}
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	p.Legend.XOffs, p.Legend.YOffs = -2*legendPadding, -2*legendPadding
	p.Add(plotter.NewGrid())
	lines := []struct {
		name  string
		color color.Color
		of    func(trace.Rate) float64
	}{
		{"served (spread evenly over each sum)", servedColor, func(r trace.Rate) float64 { return r.Served }},
		{"refused (has not run)", refusedColor, func(r trace.Rate) float64 { return float64(r.Refused) }},
		{"failed", failedColor, func(r trace.Rate) float64 { return float64(r.Failed) }},
	}
	for _, l := range lines {
		points := make(plotter.XYs, len(list))
		for i, r := range list {
			points[i] = plotter.XY{X: float64(r.At.Unix()), Y: l.of(r)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = l.color
		line.Width = vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1) * (1 + plotHead)
	return p.Save(plotWidth, plotHeight, file)
}
