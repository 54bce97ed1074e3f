package executor

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/topazrock/topazrock/internal/result"
)

// Metrics counts the results of units. Label cardinality is bounded: groups and classes come from
// service documents, codes from the table of result codes.
type Metrics struct {
	units       *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	resolutions *prometheus.CounterVec
	reaped      *prometheus.CounterVec
	relays      *prometheus.CounterVec
	departures  *prometheus.CounterVec
}

// NewMetrics creates and registers the package's metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		units: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_units_total",
			Help: "Units answered, by group, class and the kind of member that answered.",
		}, []string{"group", "class", "member"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_refusals_total",
			Help: "Units that ended in a result code, by group and code.",
		}, []string{"group", "code"}),
		resolutions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_settlings_total",
			Help: "Unknown outcomes of keyed requests that were settled, by group and code.",
		}, []string{"group", "code"}),
		reaped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_transactions_reaped_total",
			Help: "Transactions rolled back because they were idle too long, by group.",
		}, []string{"group"}),
		relays: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_relays_total",
			Help: "Units passed on to another home because this one could not serve them, by group and outcome.",
		}, []string{"group", "outcome"}),
		departures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_departure_notices_total",
			Help: "Notices of peers that the caller of a unit has left, by what they found.",
		}, []string{"found"}),
	}
	r.MustRegister(m.units, m.refusals, m.resolutions, m.reaped, m.relays, m.departures)
	return m
}

func (m *Metrics) countAnswer(group, class string, replica bool) {
	kind := "primary"
	if replica {
		kind = "replica"
	}
	m.units.WithLabelValues(group, class, kind).Inc()
}

// countRefusal counts err by its result code and returns it.
func (m *Metrics) countRefusal(group string, err error) error {
	if e, ok := result.As(err); ok {
		m.refusals.WithLabelValues(group, e.Code.Label()).Inc()
	}
	return err
}

func (m *Metrics) countResolution(group string, c result.Code) {
	m.resolutions.WithLabelValues(group, c.Label()).Inc()
}

// countRelay counts a unit that was passed on to another home.
func (m *Metrics) countRelay(group string, err error) {
	outcome := "served"
	if e, ok := result.As(err); ok {
		outcome = e.Code.Label()
	} else if err != nil {
		outcome = "not reached"
	}
	m.relays.WithLabelValues(group, outcome).Inc()
}

// countDepartureNotice counts a notice of a peer that a caller has left.
func (m *Metrics) countDepartureNotice(found string) { m.departures.WithLabelValues(found).Inc() }

func (m *Metrics) countReapedTransaction(group string) { m.reaped.WithLabelValues(group).Inc() }
