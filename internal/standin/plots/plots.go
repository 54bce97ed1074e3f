// Package plots plots the results of bench runs: the failover gap and the share of reads
// served by replicas.
package plots

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/topazrock/topazrock/internal/standin/bench"
)

const (
	minWidth = 18 * vg.Centimeter
	// runWidth is the width per run.
	runWidth = 3 * vg.Centimeter
	height   = 11 * vg.Centimeter
	barWidth = 7 * vg.Millimeter
	// headroom scales the Y axis to leave space for the legend above the highest bar.
	headroom = 1.3
	// maxLine is the maximum length of an input line in bytes.
	maxLine = 4 << 20
)

// errNoReport is returned if an input contains no usable bench report.
var errNoReport = errors.New("no report of the bench")

// Read returns the reports in a bench output: the lines that begin with "{".
func Read(r io.Reader) ([]bench.Report, error) {
	var reports []bench.Report
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "{") {
			continue
		}
		var report bench.Report
		if err := json.Unmarshal(lines.Bytes(), &report); err != nil {
			return nil, fmt.Errorf("%w: %w", errNoReport, err)
		}
		reports = append(reports, report)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(reports) == 0 {
		return nil, errNoReport
	}
	return reports, nil
}

// Write plots the reports as PNG and SVG files in a folder and returns their paths.
func Write(folder string, reports []bench.Report) ([]string, error) {
	var names []string
	for name, draw := range map[string]func([]bench.Report) (*plot.Plot, error){
		"failover-gap": drawGaps, "replica-share": drawShares,
	} {
		p, err := draw(reports)
		if err != nil {
			return nil, err
		}
		for _, extension := range []string{".png", ".svg"} {
			file := filepath.Join(folder, name+extension)
			if err := p.Save(max(minWidth, runWidth*vg.Length(len(reports))), height, file); err != nil {
				return nil, err
			}
			names = append(names, file)
		}
	}
	return names, nil
}

// drawGaps plots the median, 99th percentile and maximum gap of each run that has gaps.
func drawGaps(reports []bench.Report) (*plot.Plot, error) {
	var labels []string
	var median, p99, longest plotter.Values
	for _, r := range reports {
		if r.Gaps == nil || r.Gaps.Count == 0 {
			continue
		}
		labels = append(labels, fmt.Sprintf("%s, gaps: %d", runLabel(r), r.Gaps.Count))
		median = append(median, r.Gaps.P50MS)
		p99 = append(p99, r.Gaps.P99MS)
		longest = append(longest, r.Gaps.MaxMS)
	}
	if len(labels) == 0 {
		return nil, fmt.Errorf("%w with a failover gap", errNoReport)
	}
	p := plot.New()
	p.Title.Text = "Failover gap: how long writes were impossible"
	p.Y.Label.Text = "milliseconds"
	return p, addBars(p, labels, []string{"median", "99th percentile", "longest"}, median, p99, longest)
}

// drawShares plots the share of reads served by replicas in each run.
func drawShares(reports []bench.Report) (*plot.Plot, error) {
	var labels []string
	var shares plotter.Values
	for _, r := range reports {
		labels = append(labels, fmt.Sprintf("%s, lag %g ms", runLabel(r), r.LagMS))
		shares = append(shares, 100*r.ReplicaReadShare)
	}
	p := plot.New()
	p.Title.Text = "Share of reads served by replicas"
	p.Y.Label.Text = "per cent"
	return p, addBars(p, labels, []string{"reads at replicas"}, shares)
}

// runLabel returns the label of a run: its profile, fault and baseline.
func runLabel(r bench.Report) string {
	l := fmt.Sprintf("%s, %s", r.Profile, r.Fault)
	if r.Baseline != "" {
		l += ", baseline " + string(r.Baseline)
	}
	return l
}

// addBars adds a grouped bar chart with one group per label and one bar per series.
func addBars(p *plot.Plot, labels, names []string, series ...plotter.Values) error {
	for i, values := range series {
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(series)+1) / 2
		p.Add(bars)
		if len(series) > 1 {
			p.Legend.Add(names[i], bars)
		}
	}
	p.Legend.Top = true
	p.Y.Min = 0
	if len(series) > 1 {
		p.Y.Max *= headroom
	}
	p.X.Min, p.X.Max = -0.6, float64(len(labels))-0.4
	p.Add(plotter.NewGrid())
	p.NominalX(wrapLabels(labels)...)
	return nil
}

// wrapLabels puts each comma-separated part of a label on its own line.
func wrapLabels(labels []string) []string {
	wrapped := make([]string, len(labels))
	for i, l := range labels {
		wrapped[i] = strings.ReplaceAll(l, ", ", "\n")
	}
	return wrapped
}
