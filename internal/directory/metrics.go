package directory

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/objectwatch"
)

// Metrics shows which manifest is in force, and counts invalid workspaces and keys in manifests and
// the views that were built.
type Metrics struct {
	workspaceFaults prometheus.Counter
	views           prometheus.Counter
	// version and inForceSince describe the manifest in force; manifests counts those put in force.
	version      prometheus.Gauge
	inForceSince prometheus.Gauge
	manifests    *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{workspaceFaults: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "topazrock_workspace_faults_total",
		Help: "Workspaces and keys of manifests that could not be used as they were written.",
	}), views: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "topazrock_directory_views_total",
		Help: "Views of the manifest and of the members' entries that were built.",
	}), version: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "topazrock_manifest_version",
		Help: "Version of the manifest in force.",
	}), inForceSince: prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "topazrock_manifest_in_force_timestamp_seconds",
		Help: "When the manifest in force was put in force, in Unix seconds.",
	}), manifests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "topazrock_manifests_total",
		Help: "Manifests that were put in force, by how they arrived.",
	}, []string{"origin"})}
	if r != nil {
		r.MustRegister(m.workspaceFaults, m.views, m.version, m.inForceSince, m.manifests)
	}
	return m
}

// setManifest records that a manifest was put in force.
func (m *Metrics) setManifest(version int64, from objectwatch.Origin, now time.Time) {
	m.version.Set(float64(version))
	m.inForceSince.Set(float64(now.UnixMilli()) / 1000)
	m.manifests.WithLabelValues(string(from)).Inc()
}
