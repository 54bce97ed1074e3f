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
	errWritesNotRestored   = errors.New("timed out waiting for writes to succeed again")
	errFailoverNotReported = errors.New("timed out waiting for an instance to report the failover")
)

// Report is the result of one run. Its JSON form is the last line of output.
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
	// Refused holds the latencies of refusals, whose requests did not run.
	Refused Class `json:"refused"`
	// FalsePromotions counts the terms that began while a primary was only paused.
	FalsePromotions int        `json:"false_promotions"`
	Gaps            *GapReport `json:"gaps,omitempty"`
	// Fleets is the number of fleets that counts and gaps cover. Latencies, shares
	// and rates are those of the first fleet.
	Fleets  int              `json:"fleets"`
	Classes map[string]Class `json:"classes"`
	// ConnectionsHighest is the highest number of simultaneous connections at any
	// member.
	ConnectionsHighest int `json:"connections_highest"`
	ConnectionsTotal   int `json:"connections_total"`
	// PlatformCalls is the rate of calls to the platform, by kind of call.
	PlatformCalls map[standin.Call]float64 `json:"platform_calls_per_s"`
	// PeerBytes is the bytes per second between all instances, in both directions.
	PeerBytes float64 `json:"peer_bytes_per_s"`
}

// counters holds totals since the start of the fleet.
type counters struct {
	calls     map[standin.Call]int
	peerBytes int64
}

func (f *fleet) readCounters() counters { return counters{f.store.Calls(), f.wan.peerBytes.Load()} }

// Class summarizes the latencies of one class of requests.
type Class struct {
	Count  int64   `json:"count"`
	P50MS  float64 `json:"p50_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p999_ms"`
}

// GapReport summarizes the failover gaps.
type GapReport struct {
	Count int     `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
	// Split holds the median and the 99th percentile of each phase, as measured by
	// the claimers. Phase detect begins at the first failed probe.
	Split map[string][2]float64 `json:"split_p50_p99_ms"`
	gaps  []gap
}

// addFleet adds the counts and gaps of another fleet.
func (r *Report) addFleet(o *Report) {
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
		r.Gaps = newGapReport(append(r.Gaps.gaps, o.Gaps.gaps...))
		r.FailoverGapMS = &r.Gaps.P50MS
	}
}

// Failed reports whether a guarantee was violated: an acknowledged write was lost, a
// session did not see its own write, a fresh read was stale, a read returned a wrong
// value, a refused write ran, or a paused primary was replaced.
func (r *Report) Failed() bool {
	return r.AckedLost+r.StaleOwnReads+r.StaleFreshReads+r.RefusedButRan+r.WrongAnswers+r.FalsePromotions > 0
}

// Write writes the report as one line of JSON.
func (r *Report) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

func (b *bench) newReport(elapsed time.Duration) *Report {
	after := b.readCounters()
	r := &Report{
		Profile: b.config.Profile, Fault: b.config.Fault, Seed: b.config.Seed,
		Baseline: b.config.Baseline, Instances: b.profile.instances, Sessions: b.config.Sessions,
		FalsePromotions: b.falsePromotions, Fleets: 1,
		DurationS: round(elapsed.Seconds()), LagMS: milliseconds(b.config.ReplicationLag),
		Classes: map[string]Class{}, PlatformCalls: map[standin.Call]float64{},
		ConnectionsTotal: b.profile.connections,
	}
	for g, nodes := range b.nodes {
		lost, ran := b.history.checkRows(g, nodes[b.primary(g)].Rows("kv"))
		r.AckedLost += lost
		r.RefusedButRan += ran
	}
	b.addReads(r)
	b.addHistory(r, elapsed)
	for call, count := range after.calls {
		r.PlatformCalls[call] = round(float64(count-b.countersBefore.calls[call]) / elapsed.Seconds())
	}
	r.PeerBytes = round(float64(after.peerBytes-b.countersBefore.peerBytes) / elapsed.Seconds())
	if len(b.gaps) > 0 {
		r.Gaps = newGapReport(b.gaps)
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
			r.ConnectionsHighest = max(r.ConnectionsHighest, n.Connections().Peak)
		}
	}
	if sum := primary + replica; sum > 0 {
		r.ReplicaReadShare = math.Round(float64(replica)/float64(sum)*1e4) / 1e4
	}
}

func (b *bench) addHistory(r *Report, elapsed time.Duration) {
	h := b.history
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Reads, r.WritesAcked = h.reads, len(h.acked)
	r.StaleOwnReads, r.StaleFreshReads, r.WrongAnswers = h.staleOwn, h.staleFresh, h.wrongValues
	r.RefusedDidNotRun, r.OutcomeUnknown, r.Refusals = len(h.refused), h.unknown, h.errorCounts
	r.StatementsPerS = round(float64(h.reads+len(h.acked)) / elapsed.Seconds())
	for name, histogram := range h.latencies {
		r.Classes[name] = newClass(histogram)
	}
	r.Refused = newClass(h.refusalLatencies)
}

func newClass(h *hdrhistogram.Histogram) Class {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Class{Count: h.TotalCount(), P50MS: at(50), P99MS: at(99), P999MS: at(99.9)}
}

func newGapReport(gaps []gap) *GapReport {
	var totals []time.Duration
	split := map[string][]time.Duration{}
	for _, g := range gaps {
		totals = append(totals, g.total)
		for phase, d := range map[string]time.Duration{
			"detect": g.phases.Detect, "claim": g.phases.Claim, "fence": g.phases.Fence,
			"promote": g.phases.Promote, "learn": g.phases.Attach,
		} {
			split[phase] = append(split[phase], d)
		}
	}
	r := &GapReport{
		Count: len(gaps), P50MS: quantile(totals, 0.5), P99MS: quantile(totals, 0.99),
		MaxMS: milliseconds(slices.Max(totals)), Split: map[string][2]float64{}, gaps: gaps,
	}
	for phase, d := range split {
		r.Split[phase] = [2]float64{quantile(d, 0.5), quantile(d, 0.99)}
	}
	return r
}

// quantile returns, in milliseconds, the smallest value that is at least as large as
// a fraction q of all values.
func quantile(values []time.Duration, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return milliseconds(sorted[max(i, 0)])
}

func milliseconds(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }

func round(v float64) float64 { return math.Round(v*100) / 100 }

// Summary returns a readable summary of the report.
func (r *Report) Summary() string {
	return fmt.Sprintf(`Reads answered:                 %d, %.1f %% of them by replicas
Writes acknowledged:            %d, of which %d are lost
Reads that missed an own write: %d
Refused, and did not run:       %d
Outcome unknown to the caller:  %d
`, r.Reads, r.ReplicaReadShare*100, r.WritesAcked, r.AckedLost, r.StaleOwnReads, r.RefusedDidNotRun, r.OutcomeUnknown)
}
