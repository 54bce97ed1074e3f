package pool

import "github.com/prometheus/client_golang/prometheus"

// Reasons for closing a connection, as metric labels.
const (
	closedNotClean     = "not_clean"
	closedLeaving      = "member_leaving"
	closedProbeFailed  = "silent"
	closedByMember     = "closed_by_member"
	closedLimit        = "limit_lowered"
	closedNotNeeded    = "not_needed"
	closedForMember    = "room_for_other_member"
	closedForWorkspace = "room_for_other_workspace"
	closedShutdown     = "shutdown"
)

// Metrics holds the metrics of an instance's pools.
type Metrics struct {
	connections       *prometheus.GaugeVec
	openings          *prometheus.CounterVec
	closes            *prometheus.CounterVec
	unconfirmedCloses *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	lostRefusals      *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		connections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_pool_connections",
			Help: "Connections by state, and the limit.",
		}, []string{"group", "state"}),
		openings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_openings_total",
			Help: "Openings by outcome: ok, refused by the member, or failed.",
		}, []string{"group", "outcome"}),
		closes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_closed_total",
			Help: "Closed connections by reason.",
		}, []string{"group", "reason"}),
		unconfirmedCloses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_unconfirmed_closes_total",
			Help: "Closings that the member did not confirm in time.",
		}, []string{"group"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_refusals_total",
			Help: "Requests for a connection that were refused, by result code.",
		}, []string{"group", "code"}),
		lostRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_pool_lost_connection_refusals_total",
			Help: "Requests refused because a member is full of lost connections, by moment.",
		}, []string{"group", "reason"}),
	}
	if r != nil {
		r.MustRegister(m.connections, m.openings, m.closes, m.unconfirmedCloses, m.refusals, m.lostRefusals)
	}
	return m
}
