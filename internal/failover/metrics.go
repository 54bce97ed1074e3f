package failover

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the failover metrics shared by all claimers of an instance.
type Metrics struct {
	phases   *prometheus.HistogramVec
	claims   *prometheus.CounterVec
	attaches *prometheus.CounterVec
	ignored  *prometheus.CounterVec
	withheld *prometheus.CounterVec
	// unreadable counts versions of groups' records that could not be decoded.
	unreadable prometheus.Counter
}

// Values of the reason label of promotions that were not requested.
const (
	withheldExpired  = "expired"
	withheldReplaced = "replaced"
)

// Values of the outcome label. A claim is refused if other failure domains reach the primary
// or the cause no longer applies, lost if the term was granted to another claim, rival if
// another claim has not expired yet, cooldown if a failing primary was replaced a short time ago,
// and unavailable after any other error. A won claim is
// counted again as done or abandoned when its attempt ends. Attaches are done or abandoned.
const (
	outcomeWon         = "won"
	outcomeLost        = "lost"
	outcomeRefused     = "refused"
	outcomeUnavailable = "unavailable"
	outcomeRival       = "rival"
	outcomeCooldown    = "cooldown"
	outcomeAbandoned   = "abandoned"
	outcomeDone        = "done"
)

// NewMetrics creates the metrics and registers them with reg, unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		phases: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "topazrock_failover_phase_seconds",
			Help:    "Time of each phase of a failover, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"phase"}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_failover_claims_total",
			Help: "Claims of a term by cause and outcome.",
		}, []string{"cause", "outcome"}),
		attaches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_failover_attaches_total",
			Help: "Detached members that were told to follow, by outcome.",
		}, []string{"outcome"}),
		ignored: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_failover_work_reports_ignored_total",
			Help: "Reports on a primary's work that proved nothing, by reason.",
		}, []string{"reason"}),
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_failover_withheld_promotions_total",
			Help: "Promotions that were not requested because their claim had expired or was replaced, by reason.",
		}, []string{"reason"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_failover_unreadable_records_total",
			Help: "Versions of groups' records that could not be read, such as one that another writer has left.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.phases, m.claims, m.attaches, m.ignored, m.withheld, m.unreadable)
	}
	return m
}

func (m *Metrics) observeGap(g Timings) {
	for phase, d := range map[string]time.Duration{
		"detect": g.Detect, "claim": g.Claim, "fence": g.Fence,
		"promote": g.Promote, "learn": g.Attach, "total": g.Total(),
	} {
		m.phases.WithLabelValues(phase).Observe(d.Seconds())
	}
}

func (m *Metrics) countClaim(c Cause, outcome string) {
	m.claims.WithLabelValues(string(c), outcome).Inc()
}
