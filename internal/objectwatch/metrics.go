package objectwatch

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what keeps followers from being up to date, by kind of object.
type Metrics struct {
	ignoredLists *prometheus.CounterVec
	compactions  *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		ignoredLists: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_watch_ignored_lists_total",
			Help: "Lists of objects that were older than what this instance had already applied.",
		}, []string{"kind"}),
		compactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_watch_compacted_total",
			Help: "Watches that could not resume from their revision, so that the objects were listed again.",
		}, []string{"kind"}),
	}
	if r != nil {
		r.MustRegister(m.ignoredLists, m.compactions)
	}
	return m
}
