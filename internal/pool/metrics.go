package pool

import "github.com/prometheus/client_golang/prometheus"

// Reasons for which a connection was closed, as metric labels.
const (
	closedDirty    = "not_clean"
	closedLeaving  = "member_leaving"
	closedSilent   = "silent"
	closedByMember = "closed_by_member"
	closedLimit    = "limit_lowered"
	closedSurplus  = "not_needed"
	closedMakeRoom = "room_for_other_member"
	closedReplaced = "room_for_other_workspace"
	closedShutdown = "shutdown"
)

// Metrics counts what the pools of an instance do.
type Metrics struct {
	connections *prometheus.GaugeVec
	opened      *prometheus.CounterVec
	closed      *prometheus.CounterVec
	unconfirmed *prometheus.CounterVec
	refused     *prometheus.CounterVec
}

// NewMetrics makes the counters and registers them; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_pool_connections",
			Help: "Connections by state, and the limit.",
		}, []string{"group", "state"}),
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_openings_total",
			Help: "Openings by outcome: ok, refused by the member, or failed.",
		}, []string{"group", "outcome"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_closed_total",
			Help: "Closed connections by reason.",
		}, []string{"group", "reason"}),
		unconfirmed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_unconfirmed_closes_total",
			Help: "Closings that the member did not confirm in time.",
		}, []string{"group"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_refusals_total",
			Help: "Requests for a connection that were refused, by result code.",
		}, []string{"group", "code"}),
	}
	if r != nil {
		r.MustRegister(m.connections, m.opened, m.closed, m.unconfirmed, m.refused)
	}
	return m
}
