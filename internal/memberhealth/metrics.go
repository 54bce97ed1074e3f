package memberhealth

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of received evidence.
const (
	evidenceAccepted = "accepted"
	evidenceOutdated = "outdated"
	evidenceInvalid  = "invalid"
)

// Metrics holds the metrics of all Trackers of an instance.
type Metrics struct {
	states     *prometheus.GaugeVec
	ejections  *prometheus.CounterVec
	kept       *prometheus.CounterVec
	evidence   *prometheus.CounterVec
	endedEarly *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		states: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_member_health",
			Help: "Health of a member by the outcome of its statements: 0 healthy, 1 on probation, 2 ejected.",
		}, []string{"group", "member"}),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_member_ejections_total",
			Help: "Members that were ejected, by reason.",
		}, []string{"group", "reason"}),
		kept: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_member_ejections_prevented_total",
			Help: "Ejections that were not made because no other member was able to serve.",
		}, []string{"group"}),
		evidence: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_member_evidence_total",
			Help: "Reports of other homes about the health of members, by outcome.",
		}, []string{"group", "outcome"}),
		endedEarly: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_member_reads_ended_early_total",
			Help: "Reads at silent members that were ended before their timeout, to be sent to another member.",
		}, []string{"group"}),
	}
	if r != nil {
		r.MustRegister(m.states, m.ejections, m.kept, m.evidence, m.endedEarly)
	}
	return m
}

func (m *Metrics) setState(group, address string, s State) {
	m.states.WithLabelValues(group, address).Set(s.gaugeValue())
}

func (m *Metrics) removeMember(group, address string) { m.states.DeleteLabelValues(group, address) }

func (m *Metrics) countEjection(group string, r Reason) {
	m.ejections.WithLabelValues(group, string(r)).Inc()
}

func (m *Metrics) countKept(group string) { m.kept.WithLabelValues(group).Inc() }

func (m *Metrics) countEvidence(group, outcome string) {
	m.evidence.WithLabelValues(group, outcome).Inc()
}

// CountUnreadableEvidence counts a message that names no group.
func (m *Metrics) CountUnreadableEvidence() { m.countEvidence("", evidenceInvalid) }

// CountEndedEarly counts reads that were ended before their timeout.
func (t *Tracker) CountEndedEarly(n int) {
	t.cfg.Metrics.endedEarly.WithLabelValues(t.cfg.Group).Add(float64(n))
}
