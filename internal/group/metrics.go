package group

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the metrics of all watchers of an instance.
type Metrics struct {
	confirm       *prometheus.HistogramVec
	barrier       *prometheus.HistogramVec
	floor         *prometheus.HistogramVec
	probeFailures *prometheus.CounterVec
	termChanges   *prometheus.CounterVec
}

// NewMetrics registers the metrics with reg unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	seconds := prometheus.ExponentialBuckets(0.0005, 2, 14)
	m := &Metrics{
		confirm: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "topazrock_group_confirm_seconds",
			Help:    "Time from a confirmation's call to its end, in seconds.",
			Buckets: seconds,
		}, []string{"group", "outcome"}),
		barrier: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "topazrock_group_barrier_seconds",
			Help:    "Time from a barrier's call to its end, in seconds.",
			Buckets: seconds,
		}, []string{"group", "outcome"}),
		floor: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "topazrock_group_floor_seconds",
			Help:    "Time from the call for a floor of a read's position to its end, in seconds.",
			Buckets: seconds,
		}, []string{"group", "outcome"}),
		probeFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_group_probe_failures_total",
			Help: "Probes on new connections that failed.",
		}, []string{"group", "member"}),
		termChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_group_term_changes_total",
			Help: "Higher terms that were learned.",
		}, []string{"group"}),
	}
	if reg != nil {
		reg.MustRegister(m.confirm, m.barrier, m.floor, m.probeFailures, m.termChanges)
	}
	return m
}
