package executor

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/result"
)

// Metrics counts what became of units. Labels are bounded: groups and classes
// come from service documents, codes from the table of result codes.
type Metrics struct {
	units     *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	denied    *prometheus.CounterVec
	settlings *prometheus.CounterVec
	reaped    *prometheus.CounterVec
	confirm   *prometheus.HistogramVec
}

// NewMetrics registers the package's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		units: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_units_total",
			Help: "Units answered, by group, class and the kind of member that answered.",
		}, []string{"group", "class", "member"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_refusals_total",
			Help: "Units that ended in a result code, by group and code.",
		}, []string{"group", "code"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_retries_total",
			Help: "Retries made, by group and the code of the failed attempt.",
		}, []string{"group", "code"}),
		denied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_retries_denied_total",
			Help: "Retries not made because the budget was spent, by group and code.",
		}, []string{"group", "code"}),
		settlings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_settlings_total",
			Help: "Unknown outcomes of keyed requests that were settled, by group and code.",
		}, []string{"group", "code"}),
		reaped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_transactions_reaped_total",
			Help: "Transactions rolled back because they were idle too long, by group.",
		}, []string{"group"}),
		confirm: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "topazrock_confirm_seconds",
			Help:    "Wait for a replica's confirmation, by group.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"group"}),
	}
	r.MustRegister(m.units, m.refusals, m.retries, m.denied, m.settlings, m.reaped, m.confirm)
	return m
}

func (m *Metrics) answered(group, class string, replica bool) {
	kind := "primary"
	if replica {
		kind = "replica"
	}
	m.units.WithLabelValues(group, class, kind).Inc()
}

// refused counts err and returns it.
func (m *Metrics) refused(group string, err error) error {
	if e, ok := result.As(err); ok {
		m.refusals.WithLabelValues(group, e.Code.Label()).Inc()
	}
	return err
}

func (m *Metrics) retried(group string, c result.Code) {
	m.retries.WithLabelValues(group, c.Label()).Inc()
}

func (m *Metrics) retryDenied(group string, c result.Code) {
	m.denied.WithLabelValues(group, c.Label()).Inc()
}

func (m *Metrics) settling(group string, c result.Code) {
	m.settlings.WithLabelValues(group, c.Label()).Inc()
}

func (m *Metrics) transactionReaped(group string) { m.reaped.WithLabelValues(group).Inc() }

func (m *Metrics) confirmed(group string, wait time.Duration) {
	m.confirm.WithLabelValues(group).Observe(wait.Seconds())
}
