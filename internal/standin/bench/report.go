package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

var (
	errNoWrites   = errors.New("writes did not work again in time")
	errNoFailover = errors.New("no instance told of the failover")
)

// Report is the outcome of one run. Its JSON form is the last line of output.
type Report struct {
	Profile          string         `json:"profile"`
	Fault            Fault          `json:"fault"`
	Baseline         Baseline       `json:"baseline,omitempty"`
	Instances        int            `json:"instances"`
	Sessions         int            `json:"sessions"`
	Seed             uint64         `json:"seed"`
	DurationS        float64        `json:"duration_s"`
	LagMS            float64        `json:"lag_ms"`
	StatementsPerS   float64        `json:"statements_per_s"`
	Reads            int            `json:"reads"`
	ReplicaReadShare float64        `json:"replica_read_share"`
	WritesAcked      int            `json:"writes_acked"`
	AckedLost        int            `json:"acked_lost"`
	StaleOwnReads    int            `json:"stale_own_reads"`
	StaleFreshReads  int            `json:"stale_fresh_reads"`
	WrongAnswers     int            `json:"wrong_answers"`
	FailoverGapMS    *float64       `json:"failover_gap_ms"`
	RefusedDidNotRun int            `json:"refused_did_not_run"`
	RefusedButRan    int            `json:"refused_but_ran"`
	OutcomeUnknown   int            `json:"outcome_unknown"`
	Refusals         map[string]int `json:"refusals"`
	// Refused is how long it took to tell callers of requests that did not run.
	Refused Class `json:"refused"`
	// FalsePromotions counts the terms that began while a primary was only paused.
	FalsePromotions int        `json:"false_promotions"`
	Gaps            *GapReport `json:"gaps,omitempty"`
	// Fleets is how many fleets the counts and gaps sum up. Latencies, shares and
	// rates are those of the first.
	Fleets  int              `json:"fleets"`
	Classes map[string]Class `json:"classes"`
	// ConnectionsHighest is the highest sum that any member saw.
	ConnectionsHighest int `json:"connections_highest"`
	ConnectionsTotal   int `json:"connections_total"`
	// PlatformCalls is calls a second by kind.
	PlatformCalls map[standin.Call]float64 `json:"platform_calls_per_s"`
	// PeerBytes is bytes a second between all instances, both ways.
	PeerBytes float64 `json:"peer_bytes_per_s"`
}

// counters are sums since the fleet began.
type counters struct {
	calls     map[standin.Call]int
	peerBytes int64
}

func (f *fleet) count() counters { return counters{f.store.Calls(), f.wan.peerBytes.Load()} }

// Class holds the latencies of one class.
type Class struct {
	Count  int64   `json:"count"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
}

// GapReport sums up the failover gaps.
type GapReport struct {
	Count int     `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
	// Split gives the median and the 99th percentile of each phase, as the
	// claimers saw it. Detect begins at the first failed probe.
	Split map[string][2]float64 `json:"split_p50_p99_ms"`
	all   []gap
}

// add takes in the counts and gaps of another fleet.
func (r *Report) add(o *Report) {
	for sum, n := range map[*int]int{
		&r.Fleets: o.Fleets, &r.Reads: o.Reads, &r.WritesAcked: o.WritesAcked, &r.AckedLost: o.AckedLost,
		&r.StaleOwnReads: o.StaleOwnReads, &r.StaleFreshReads: o.StaleFreshReads, &r.WrongAnswers: o.WrongAnswers,
		&r.RefusedDidNotRun: o.RefusedDidNotRun, &r.RefusedButRan: o.RefusedButRan,
		&r.OutcomeUnknown: o.OutcomeUnknown, &r.FalsePromotions: o.FalsePromotions,
	} {
		*sum += n
	}
	r.ConnectionsHighest = max(r.ConnectionsHighest, o.ConnectionsHighest)
	if r.Gaps != nil && o.Gaps != nil {
		r.Gaps = gapReport(append(r.Gaps.all, o.Gaps.all...))
		r.FailoverGapMS = &r.Gaps.P50MS
	}
}

// Failed reports whether a promise was broken: an acknowledged write is gone, a
// session missed its own write, a refused write ran, or a paused primary was
// replaced.
func (r *Report) Failed() bool {
	return r.AckedLost+r.StaleOwnReads+r.StaleFreshReads+r.RefusedButRan+r.WrongAnswers+r.FalsePromotions > 0
}

// Write writes the report as one line of JSON.
func (r *Report) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

func (b *bench) report(took time.Duration) *Report {
	after := b.count()
	r := &Report{
		Profile: b.config.Profile, Fault: b.config.Fault, Seed: b.config.Seed,
		Baseline: b.config.Baseline, Instances: b.profile.instances, Sessions: b.config.Sessions,
		FalsePromotions: b.falsePromotions, Fleets: 1,
		DurationS: round(took.Seconds()), LagMS: milliseconds(b.config.Lag),
		Classes: map[string]Class{}, PlatformCalls: map[standin.Call]float64{},
		ConnectionsTotal: b.profile.connections,
	}
	for g, nodes := range b.nodes {
		lost, ran := b.ledger.check(g, nodes[b.primary(g)].Rows("kv"))
		r.AckedLost += lost
		r.RefusedButRan += ran
	}
	b.addReads(r)
	b.addLedger(r, took)
	for call, count := range after.calls {
		r.PlatformCalls[call] = round(float64(count-b.before.calls[call]) / took.Seconds())
	}
	r.PeerBytes = round(float64(after.peerBytes-b.before.peerBytes) / took.Seconds())
	if len(b.gaps) > 0 {
		r.Gaps = gapReport(b.gaps)
		r.FailoverGapMS = &r.Gaps.P50MS
	}
	return r
}

func (b *bench) addReads(r *Report) {
	primary, replica := 0, 0
	for _, nodes := range b.nodes {
		for _, n := range nodes {
			reads := n.Reads()
			primary, replica = primary+reads.Primary, replica+reads.Replica
			r.ConnectionsHighest = max(r.ConnectionsHighest, n.Connections().Highest)
		}
	}
	if sum := primary + replica; sum > 0 {
		r.ReplicaReadShare = math.Round(float64(replica)/float64(sum)*1e4) / 1e4
	}
}

func (b *bench) addLedger(r *Report, took time.Duration) {
	l := b.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Reads, r.WritesAcked = l.reads, len(l.acked)
	r.StaleOwnReads, r.StaleFreshReads, r.WrongAnswers = l.staleOwn, l.staleFresh, l.wrong
	r.RefusedDidNotRun, r.OutcomeUnknown, r.Refusals = len(l.refused), l.unknown, l.refusals
	r.StatementsPerS = round(float64(l.reads+len(l.acked)) / took.Seconds())
	for name, h := range l.latencies {
		r.Classes[name] = classOf(h)
	}
	r.Refused = classOf(l.refusedIn)
}

func classOf(h *hdrhistogram.Histogram) Class {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Class{Count: h.TotalCount(), P50MS: at(50), P99MS: at(99), P999MS: at(99.9)}
}

func gapReport(gaps []gap) *GapReport {
	var totals []time.Duration
	split := map[string][]time.Duration{}
	for _, g := range gaps {
		totals = append(totals, g.total)
		for phase, d := range map[string]time.Duration{
			"detect": g.claimer.Detect, "claim": g.claimer.Claim, "fence": g.claimer.Fence,
			"promote": g.claimer.Promote, "learn": g.claimer.Learn,
		} {
			split[phase] = append(split[phase], d)
		}
	}
	r := &GapReport{
		Count: len(gaps), P50MS: quantile(totals, 0.5), P99MS: quantile(totals, 0.99),
		MaxMS: milliseconds(slices.Max(totals)), Split: map[string][2]float64{}, all: gaps,
	}
	for phase, d := range split {
		r.Split[phase] = [2]float64{quantile(d, 0.5), quantile(d, 0.99)}
	}
	return r
}

// quantile returns the smallest value that a share q of all values does not pass.
func quantile(values []time.Duration, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return milliseconds(sorted[max(i, 0)])
}

func milliseconds(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }

func round(v float64) float64 { return math.Round(v*100) / 100 }

// Words says the report's outcome in plain words.
func (r *Report) Words() string {
	return fmt.Sprintf(`Reads answered:                 %d, %.1f %% of them by replicas
Writes acknowledged:            %d, of which %d are lost
Reads that missed an own write: %d
Refused, and did not run:       %d
Outcome unknown to the caller:  %d
`, r.Reads, r.ReplicaReadShare*100, r.WritesAcked, r.AckedLost, r.StaleOwnReads, r.RefusedDidNotRun, r.OutcomeUnknown)
}
