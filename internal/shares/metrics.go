package shares

import "github.com/prometheus/client_golang/prometheus"

// Kinds of changes of the ledger, as metric labels.
const (
	changeSweep   = "earlier_holder_freed"
	changeTake    = "seat_taken"
	changeVacate  = "seat_given_up"
	changeLend    = "lent"
	changeBorrow  = "taken_from_free_seat"
	changeReturn  = "given_back"
	changeLevel   = "raised_to_target"
	changeLayout  = "laid_out"
	changeAgedOut = "seat_aged_out"
	changeProved  = "seat_taken_on_proof"
	changeContest = "mark_removed"
	changeMark    = "marked"
	changeSettle  = "free_seats_settled"
	changeShrink  = "shrunk"
	refusedIdle   = "nothing_idle"
	refusedSettle = "not_closed_in_time"
	refusedSeat   = "no_seat"
)

// Metrics counts what the managers of an instance do.
type Metrics struct {
	size    *prometheus.GaugeVec
	seated  *prometheus.GaugeVec
	changes *prometheus.CounterVec
	refused *prometheus.CounterVec
	errors  *prometheus.CounterVec
}

// NewMetrics makes the metrics and registers them; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		size: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_share_size",
			Help: "Connections and slots that this instance may use.",
		}, []string{"group", "resource"}),
		seated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_share_seated",
			Help: "1 while this instance holds a seat of the group.",
		}, []string{"group"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_share_changes_total",
			Help: "Changes of the ledger by this instance.",
		}, []string{"group", "change"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_share_loans_refused_total",
			Help: "Calls for a loan that were refused, by reason.",
		}, []string{"group", "reason"}),
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_share_errors_total",
			Help: "Failed calls to the platform and to peers.",
		}, []string{"group", "callee"}),
	}
	if r != nil {
		r.MustRegister(m.size, m.seated, m.changes, m.refused, m.errors)
	}
	return m
}
