package config

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the package's metrics.
type Metrics struct {
	arrivals *prometheus.CounterVec
	applies  *prometheus.CounterVec
	settled  *prometheus.CounterVec
	pushes   *prometheus.CounterVec
	digests  *prometheus.CounterVec
	watches  *prometheus.CounterVec
	restores *prometheus.CounterVec
	version  *prometheus.GaugeVec
}

// NewMetrics creates the package's metrics and registers them with r unless r
// is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "topazrock_config_" + name, Help: help}, labels)
		if r != nil {
			r.MustRegister(c)
		}
		return c
	}
	m := &Metrics{
		arrivals: counter("arrivals_total", "Document versions that arrived, by source and what became of them.", "source", "arrival"),
		applies:  counter("applies_total", "Changes asked of this instance, by outcome.", "outcome"),
		settled:  counter("settled_total", "Changes settled after their operator was answered, by outcome.", "outcome"),
		pushes:   counter("pushes_total", "Pushes to peers, by outcome.", "outcome"),
		digests:  counter("digests_total", "Digests exchanged with a peer, by outcome.", "outcome"),
		watches:  counter("watches_total", "Lists and watches of the platform, by outcome.", "outcome"),
		restores: counter("restores_total", "Documents stored again after the platform lost them, by outcome.", "outcome"),
		version: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "topazrock_config_version",
			Help: "Version in force of each document."}, []string{"service"}),
	}
	if r != nil {
		r.MustRegister(m.version)
	}
	return m
}
