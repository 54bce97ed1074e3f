package quota

import "github.com/prometheus/client_golang/prometheus"

// Where a token came from, as metric labels.
const (
	sourceHeld = "held"
	sourceNear = "near"
	sourceFar  = "far"
)

// Metrics counts what the limits of workspaces do on an instance.
type Metrics struct {
	taken     *prometheus.CounterVec
	refused   *prometheus.CounterVec
	unreached prometheus.Counter
}

// NewMetrics makes the counters and registers them; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		taken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_quota_tokens_total",
			Help: "Tokens taken for operations: held ahead, from a limiter of the own failure domain, or of another one.",
		}, []string{"source"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_quota_refusals_total",
			Help: "Operations refused for their workspace's limit, by result code.",
		}, []string{"code"}),
		unreached: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_quota_limiters_unreached_total",
			Help: "Questions that a limiter did not answer.",
		}),
	}
	if r != nil {
		r.MustRegister(m.taken, m.refused, m.unreached)
	}
	return m
}
