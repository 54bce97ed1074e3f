// Package usage reports what an instance uses: processor time, memory, and the calls and bytes of
// its control traffic, with the roles that explain them.
//
// A report covers one interval and has a bounded length, so that the logs of a large fleet show
// which role or message grows with it.
package usage

import (
	"context"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
)

// MessageReport is the message of the log line that holds a report.
const MessageReport = "Usage of the last interval."

const (
	// reportInterval is the time between two reports.
	reportInterval = 10 * time.Second
	// maxSeries is the number of series of one metric that a report shows; the others are summed
	// up.
	maxSeries = 6
)

// Config configures a Reporter.
type Config struct {
	// Instance is the ID of the instance.
	Instance string
	Gatherer prometheus.Gatherer
	// Roles returns the roles that the instance has now.
	Roles func() []string
	Clock clock.Clock
	Log   hclog.Logger
}

// Reporter writes a report to the log at reportInterval.
type Reporter struct {
	Config
	previous totals
}

// New returns a Reporter; Run starts it.
func New(c Config) *Reporter {
	c.Log = c.Log.Named("usage")
	return &Reporter{Config: c}
}

// Run writes reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.previous = r.readTotals()
	for clock.Sleep(ctx, r.Clock, reportInterval) == nil {
		r.report()
	}
}

// report writes what was used since the previous report.
func (r *Reporter) report() {
	now := r.readTotals()
	used := now.since(r.previous)
	r.previous = now
	fields := []any{
		"instance", r.Instance,
		"roles", strings.Join(r.Roles(), ","),
		"cpu_ms", used.processor.Milliseconds(),
		"heap_kb", now.heapBytes / 1024,
		"goroutines", now.goroutines,
	}
	for _, m := range reportedMetrics {
		if text := used.describe(m.name); text != "" {
			fields = append(fields, m.field, text)
		}
	}
	r.Log.Info(MessageReport, fields...)
}

// readTotals reads the counters; those that cannot be read are missing.
func (r *Reporter) readTotals() totals {
	families, err := r.Gatherer.Gather()
	if err != nil {
		r.Log.Warn("Some metrics cannot be read.", "error", err)
	}
	return newTotals(families)
}
