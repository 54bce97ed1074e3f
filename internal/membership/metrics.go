package membership

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of this package.
type Metrics struct {
	live        prometheus.Gauge
	leaving     prometheus.Gauge
	refreshes   *prometheus.CounterVec
	lastRefresh prometheus.Gauge
	views       prometheus.Counter
}

// NewMetrics creates the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		live: prometheus.NewGauge(prometheus.GaugeOpts{Name: "topazrock_membership_live_instances",
			Help: "Instances that are not leaving, this one included."}),
		leaving: prometheus.NewGauge(prometheus.GaugeOpts{Name: "topazrock_membership_leaving_upstreams",
			Help: "Upstreams that are listed as leaving."}),
		refreshes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "topazrock_membership_refreshes_total",
			Help: "Readings of the platform's instance list by outcome."}, []string{"outcome"}),
		lastRefresh: prometheus.NewGauge(prometheus.GaugeOpts{Name: "topazrock_membership_last_refresh_timestamp_seconds",
			Help: "When the platform gave the instance list in use, to this instance or to a peer."}),
		views: prometheus.NewCounter(prometheus.CounterOpts{Name: "topazrock_membership_views_total",
			Help: "Views of the instance list that were built."}),
	}
	if r != nil {
		r.MustRegister(m.live, m.leaving, m.refreshes, m.lastRefresh, m.views)
	}
	return m
}

func (m *Metrics) observeSnapshot(s *snapshot) {
	m.views.Inc()
	m.live.Set(float64(len(s.live)))
	m.leaving.Set(float64(len(s.leaving)))
}

func (m *Metrics) countRefresh(err error) {
	if err != nil {
		m.refreshes.WithLabelValues("failed").Inc()
		return
	}
	m.refreshes.WithLabelValues("read").Inc()
}

// setListTime records when the platform returned the list in use.
func (m *Metrics) setListTime(readAt time.Time) { m.lastRefresh.Set(float64(readAt.Unix())) }
