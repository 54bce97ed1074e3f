package retry

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of a retry decision, as metric labels.
const (
	outcomeRetried  = "retried"
	outcomeBudget   = "budget_spent"
	outcomeDeadline = "deadline_too_short"
)

// Metrics holds the retry metrics of an instance's groups.
type Metrics struct {
	retries *prometheus.CounterVec
	budget  *prometheus.GaugeVec
}

// NewMetrics creates the metrics and registers them with r, which may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_retries_total",
			Help: "Retries that were due, by reason and by what became of them.",
		}, []string{"group", "reason", "outcome"}),
		budget: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_retry_budget",
			Help: "Retries that the group may spend now.",
		}, []string{"group"}),
	}
	if r != nil {
		r.MustRegister(m.retries, m.budget)
	}
	return m
}
