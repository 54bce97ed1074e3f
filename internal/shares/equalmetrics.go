package shares

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of a start within the reserve, as metric labels.
const (
	startTimedOut  = "timed_out"
	startFoundRoom = "members_have_room"
	startStopped   = "stopped"
)

// EqualMetrics holds the metrics of the equal shares of an instance. A nil EqualMetrics records
// nothing.
type EqualMetrics struct {
	reserve        *prometheus.GaugeVec
	starts         *prometheus.CounterVec
	invalidReports *prometheus.CounterVec
}

// NewEqualMetrics creates the metrics and registers them unless r is nil.
func NewEqualMetrics(r prometheus.Registerer) *EqualMetrics {
	m := &EqualMetrics{
		reserve: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_reserve_connections",
			Help: "Connections of each member that all homes together leave free.",
		}, []string{"group"}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_reserve_starts_total",
			Help: "Starts within the connection reserve, by how they ended.",
		}, []string{"group", "outcome"}),
		invalidReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_reserve_invalid_reports_total",
			Help: "Reports of members with an invalid number of connections.",
		}, []string{"group"}),
	}
	if r != nil {
		r.MustRegister(m.reserve, m.starts, m.invalidReports)
	}
	return m
}

func (m *EqualMetrics) setReserve(group string, connections int) {
	if m != nil {
		m.reserve.WithLabelValues(group).Set(float64(connections))
	}
}

func (m *EqualMetrics) countStart(group, outcome string) {
	if m != nil {
		m.starts.WithLabelValues(group, outcome).Inc()
	}
}

func (m *EqualMetrics) countInvalidReport(group string) {
	if m != nil {
		m.invalidReports.WithLabelValues(group).Inc()
	}
}
