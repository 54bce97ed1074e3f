package quota

import "github.com/prometheus/client_golang/prometheus"

// Sources of tokens, as metric labels.
const (
	sourcePrefetched  = "held"
	sourceSameDomain  = "near"
	sourceOtherDomain = "far"
)

// Metrics counts the tokens, refusals and unanswered requests of an instance.
type Metrics struct {
	tokens     *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	unanswered prometheus.Counter
	// tokensByRank and refusalsByRank are counted only while ranks are used.
	tokensByRank   *prometheus.CounterVec
	refusalsByRank *prometheus.CounterVec
	invalidRanks   prometheus.Counter
}

// NewMetrics creates the counters and registers them; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_quota_tokens_total",
			Help: "Tokens taken for operations: held ahead, from a limiter of the own failure domain, or of another one.",
		}, []string{"source"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_quota_refusals_total",
			Help: "Operations refused for their workspace's limit, by result code.",
		}, []string{"code"}),
		unanswered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_quota_limiters_unreached_total",
			Help: "Questions that a limiter did not answer.",
		}),
		tokensByRank: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_quota_rank_tokens_total",
			Help: "Tokens taken for operations, by the rank of their class.",
		}, []string{"rank"}),
		refusalsByRank: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "topazrock_quota_rank_refusals_total",
			Help: "Operations refused for their workspace's limit, by the rank of their class.",
		}, []string{"rank"}),
		invalidRanks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "topazrock_quota_invalid_ranks_total",
			Help: "Requests to a limiter whose counts by rank were wrong.",
		}),
	}
	if r != nil {
		r.MustRegister(m.tokens, m.refusals, m.unanswered, m.tokensByRank, m.refusalsByRank, m.invalidRanks)
	}
	return m
}
