package features

import "github.com/prometheus/client_golang/prometheus"

// Metrics shows which features are in use.
type Metrics struct{ enabled *prometheus.GaugeVec }

// NewMetrics creates the gauge and registers it; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{enabled: prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "topazrock_feature_enabled",
		Help: "1 if an optional feature is in use, 0 if not.",
	}, []string{"feature"})}
	if r != nil {
		r.MustRegister(m.enabled)
	}
	return m
}
