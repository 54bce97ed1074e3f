// Package plots draws what runs of the bench measured: the failover gap and the
// share of reads that replicas served.
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
	leastWidth = 18 * vg.Centimeter
	// runWidth is the room that each run gets.
	runWidth = 3 * vg.Centimeter
	height   = 11 * vg.Centimeter
	barWidth = 7 * vg.Millimeter
	// headroom leaves the legend a place above the highest bar.
	headroom = 1.3
	// maxLine bounds one report, in bytes.
	maxLine = 4 << 20
)

// errNoReport says that an input holds no report of the bench.
var errNoReport = errors.New("no report of the bench")

// Read returns the reports in a text: its lines that are JSON objects.
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

// Write draws the reports into PNG and SVG files of a folder and returns their names.
func Write(folder string, reports []bench.Report) ([]string, error) {
	var names []string
	for name, draw := range map[string]func([]bench.Report) (*plot.Plot, error){
		"failover-gap": drawGaps, "replica-share": drawShares,
	} {
		p, err := draw(reports)
		if err != nil {
			return nil, err
		}
		for _, form := range []string{".png", ".svg"} {
			file := filepath.Join(folder, name+form)
			if err := p.Save(max(leastWidth, runWidth*vg.Length(len(reports))), height, file); err != nil {
				return nil, err
			}
			names = append(names, file)
		}
	}
	return names, nil
}

// drawGaps draws median, 99th percentile and longest gap of each run that has one.
func drawGaps(reports []bench.Report) (*plot.Plot, error) {
	var labels []string
	var median, high, longest plotter.Values
	for _, r := range reports {
		if r.Gaps == nil || r.Gaps.Count == 0 {
			continue
		}
		labels = append(labels, fmt.Sprintf("%s, gaps: %d", label(r), r.Gaps.Count))
		median = append(median, r.Gaps.P50MS)
		high = append(high, r.Gaps.P99MS)
		longest = append(longest, r.Gaps.MaxMS)
	}
	if len(labels) == 0 {
		return nil, fmt.Errorf("%w with a failover gap", errNoReport)
	}
	p := plot.New()
	p.Title.Text = "Failover gap: how long writes were impossible"
	p.Y.Label.Text = "milliseconds"
	return p, addBars(p, labels, []string{"median", "99th percentile", "longest"}, median, high, longest)
}

// drawShares draws the share of reads that replicas served in each run.
func drawShares(reports []bench.Report) (*plot.Plot, error) {
	var labels []string
	var shares plotter.Values
	for _, r := range reports {
		labels = append(labels, fmt.Sprintf("%s, lag %g ms", label(r), r.LagMS))
		shares = append(shares, 100*r.ReplicaReadShare)
	}
	p := plot.New()
	p.Title.Text = "Share of reads served by replicas"
	p.Y.Label.Text = "per cent"
	return p, addBars(p, labels, []string{"reads at replicas"}, shares)
}

// label names a run.
func label(r bench.Report) string {
	l := fmt.Sprintf("%s, %s", r.Profile, r.Fault)
	if r.Baseline != "" {
		l += ", baseline " + string(r.Baseline)
	}
	return l
}

// addBars adds series of bars side by side, one group of bars for each label.
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
	p.NominalX(wrap(labels)...)
	return nil
}

// wrap puts the parts of a label on lines of their own.
func wrap(labels []string) []string {
	wrapped := make([]string, len(labels))
	for i, l := range labels {
		wrapped[i] = strings.ReplaceAll(l, ", ", "\n")
	}
	return wrapped
}
