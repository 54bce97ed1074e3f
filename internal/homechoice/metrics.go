package homechoice

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the choices of homes. A nil Metrics counts nothing.
type Metrics struct {
	choices    *prometheus.CounterVec
	hops       *prometheus.CounterVec
	moves      *prometheus.CounterVec
	badReports prometheus.Counter
	balanced   *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_home_choices_total",
			Help: "Units of owners of connections by the reason for the choice of their home.",
		}, []string{"group", "reason"}),
		hops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_home_hops_total",
			Help: "Units of owners of connections by where the home was that got them.",
		}, []string{"group", "to"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_home_moves_total",
			Help: "Owners whose units moved between a shared home and homes of each failure domain.",
		}, []string{"group", "to"}),
		badReports: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_home_bad_reports_total",
			Help: "Reports of homes that were ignored because their values are impossible.",
		}),
		balanced: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_home_balanced_total",
			Help: "Units sent to another home than the nearest one because of the loads that homes report.",
		}, []string{"group", "to"}),
	}
	if r != nil {
		r.MustRegister(m.choices, m.hops, m.moves, m.badReports, m.balanced)
	}
	return m
}

// CountChoice counts the choice of a home.
func (m *Metrics) CountChoice(group string, reason Reason) {
	if m != nil {
		m.choices.WithLabelValues(group, string(reason)).Inc()
	}
}

// CountHop counts a unit that is sent to a home: to this instance itself, to another one in its
// failure domain or to another failure domain.
func (m *Metrics) CountHop(group string, self, sameDomain bool) {
	if m == nil {
		return
	}
	to := "other_domain"
	switch {
	case self:
		to = "self"
	case sameDomain:
		to = "same_domain"
	}
	m.hops.WithLabelValues(group, to).Inc()
}

func (m *Metrics) countMove(group string, near bool) {
	if m == nil {
		return
	}
	to := "shared"
	if near {
		to = "near"
	}
	m.moves.WithLabelValues(group, to).Inc()
}

func (m *Metrics) countBadReport() {
	if m != nil {
		m.badReports.Inc()
	}
}

func (m *Metrics) countBalanced(group string, near bool) {
	if m == nil {
		return
	}
	to := "other_domain"
	if near {
		to = "same_domain"
	}
	m.balanced.WithLabelValues(group, to).Inc()
}
