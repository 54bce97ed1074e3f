package shares

import "github.com/prometheus/client_golang/prometheus"

// Values of the metric labels change and reason.
const (
	changeFreeEarlierHolder = "earlier_holder_freed"
	changeTake              = "seat_taken"
	changeRelease           = "seat_given_up"
	changeLend              = "lent"
	changeBorrow            = "taken_from_free_seat"
	changeReturn            = "given_back"
	changeRestore           = "restored"
	changeRaiseToTargets    = "raised_to_target"
	changeApplyAllocation   = "laid_out"
	changeTakeOverExpired   = "seat_aged_out"
	changeTakeOverProved    = "seat_taken_on_proof"
	changeRemoveMark        = "mark_removed"
	changeMark              = "marked"
	changeTrimFreeShares    = "free_seats_settled"
	changeShrink            = "shrunk"
	refusedIdle             = "nothing_idle"
	refusedNotClosed        = "not_closed_in_time"
	refusedNoShare          = "no_seat"
)

// Metrics holds the metrics of the managers of an instance.
type Metrics struct {
	size      *prometheus.GaugeVec
	shareHeld *prometheus.GaugeVec
	changes   *prometheus.CounterVec
	refused   *prometheus.CounterVec
	errors    *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		size: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "topazrock_share_size",
			Help: "Connections and slots that this instance may use.",
		}, []string{"group", "resource"}),
		shareHeld: prometheus.NewGaugeVec(prometheus.GaugeOpts{
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
		r.MustRegister(m.size, m.shareHeld, m.changes, m.refused, m.errors)
	}
	return m
}
