package usage

import (
	"cmp"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	dto "github.com/prometheus/client_model/go"
)

// reportedMetric is a counter that is part of a report, and the field that shows it.
type reportedMetric struct{ name, field string }

var reportedMetrics = []reportedMetric{
	{"topazrock_peer_calls_total", "calls"},
	{"topazrock_peer_bytes_total", "call_bytes"},
	{"topazrock_peer_served_calls_total", "served"},
	{"topazrock_watch_served_bytes_total", "watch_bytes"},
	{"topazrock_platform_calls_total", "platform_calls"},
	{"topazrock_platform_bytes_total", "platform_bytes"},
	{"topazrock_directory_views_total", "directory_views"},
	{"topazrock_membership_views_total", "membership_views"},
}

// totals holds cumulative values at one point in time.
type totals struct {
	// series holds the value of each series, by metric and by the values of its labels.
	series     map[string]map[string]float64
	processor  time.Duration
	heapBytes  uint64
	goroutines int
}

func newTotals(families []*dto.MetricFamily) totals {
	t := totals{series: make(map[string]map[string]float64), processor: processorTime(), goroutines: runtime.NumGoroutine()}
	t.heapBytes = heapBytes()
	for _, f := range families {
		if !slices.ContainsFunc(reportedMetrics, func(m reportedMetric) bool { return m.name == f.GetName() }) {
			continue
		}
		values := make(map[string]float64)
		for _, m := range f.GetMetric() {
			values[labelValues(m)] = m.GetCounter().GetValue()
		}
		t.series[f.GetName()] = values
	}
	return t
}

// labelValues returns the values of the labels of a series.
func labelValues(m *dto.Metric) string {
	var values []string
	for _, l := range m.GetLabel() {
		values = append(values, l.GetValue())
	}
	return strings.Join(values, "/")
}

// processorTime returns the processor time that the process has used, zero if it is not known.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// since returns the difference to earlier totals. Memory and goroutines are those of t.
func (t totals) since(earlier totals) totals {
	d := t
	d.processor = t.processor - earlier.processor
	d.series = make(map[string]map[string]float64)
	for name, values := range t.series {
		d.series[name] = make(map[string]float64)
		for labels, v := range values {
			d.series[name][labels] = v - earlier.series[name][labels]
		}
	}
	return d
}

// describe returns the largest series of a metric and the sum of the others. It is empty if all
// are zero.
func (t totals) describe(metric string) string {
	values := t.series[metric]
	names := slices.SortedFunc(maps.Keys(values), func(a, b string) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), cmp.Compare(a, b))
	})
	var parts []string
	others := 0.0
	for n, name := range names {
		switch {
		case values[name] == 0:
		case n < maxSeries:
			parts = append(parts, strings.TrimSpace(fmt.Sprintf("%s %.0f", name, values[name])))
		default:
			others += values[name]
		}
	}
	if others > 0 {
		parts = append(parts, fmt.Sprintf("others %.0f", others))
	}
	return strings.Join(parts, "; ")
}
