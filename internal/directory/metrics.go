package directory

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts invalid workspaces and keys in manifests.
type Metrics struct{ workspaceFaults prometheus.Counter }

// NewMetrics creates the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{workspaceFaults: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "topazrock_workspace_faults_total",
		Help: "Workspaces and keys of manifests that could not be used as they were written.",
	})}
	if r != nil {
		r.MustRegister(m.workspaceFaults)
	}
	return m
}
