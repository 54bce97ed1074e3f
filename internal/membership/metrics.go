package membership

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the package's metrics.
type Metrics struct {
	live      prometheus.Gauge
	leaving   prometheus.Gauge
	refreshes *prometheus.CounterVec
	lastGood  prometheus.Gauge
}

// NewMetrics registers the package's metrics; a nil registerer leaves them out.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		live: prometheus.NewGauge(prometheus.GaugeOpts{Name: "topazrock_membership_live_instances",
			Help: "Instances that are not leaving, this one included."}),
		leaving: prometheus.NewGauge(prometheus.GaugeOpts{Name: "topazrock_membership_leaving_upstreams",
			Help: "Upstreams that are listed as leaving."}),
		refreshes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "topazrock_membership_refreshes_total",
			Help: "Readings of the platform's instance list by outcome."}, []string{"outcome"}),
		lastGood: prometheus.NewGauge(prometheus.GaugeOpts{Name: "topazrock_membership_last_refresh_timestamp_seconds",
			Help: "When the platform gave the instance list in use, to this instance or to a peer."}),
	}
	if r != nil {
		r.MustRegister(m.live, m.leaving, m.refreshes, m.lastGood)
	}
	return m
}

func (m *Metrics) observe(s *snapshot) {
	m.live.Set(float64(len(s.live)))
	m.leaving.Set(float64(len(s.leaving)))
}

func (m *Metrics) refreshed(err error) {
	if err != nil {
		m.refreshes.WithLabelValues("failed").Inc()
		return
	}
	m.refreshes.WithLabelValues("read").Inc()
}

// dated records when the platform gave the list in use.
func (m *Metrics) dated(readAt time.Time) { m.lastGood.Set(float64(readAt.Unix())) }
