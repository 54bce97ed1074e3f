package directory

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what a Directory learns.
type Metrics struct{ workspaceFaults prometheus.Counter }

// NewMetrics makes the counters and registers them; r may be nil.
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
