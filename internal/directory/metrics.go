package directory

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts invalid workspaces and keys in manifests, and the views that were built.
type Metrics struct {
	workspaceFaults prometheus.Counter
	views           prometheus.Counter
}

// NewMetrics creates the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{workspaceFaults: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "topazrock_workspace_faults_total",
		Help: "Workspaces and keys of manifests that could not be used as they were written.",
	}), views: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "topazrock_directory_views_total",
		Help: "Views of the manifest and of the members' entries that were built.",
	})}
	if r != nil {
		r.MustRegister(m.workspaceFaults, m.views)
	}
	return m
}
