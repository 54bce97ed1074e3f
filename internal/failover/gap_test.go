package failover_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/failover"
)

// gapRuns is how many failovers of each kind TestFailoverGap measures.
var gapRuns = flag.Int("gaps", 6, "failovers of each kind to measure")

// Upper bounds of the failover gap, in virtual time. The bound of the median applies
// where the claimer survives.
const (
	maxMedianGap = 400 * time.Millisecond
	maxP99Gap    = time.Second
)

// gapCase is one way to lose a primary, with an optional lease that delays claims.
type gapCase struct {
	name         string
	breakPrimary func(x *cluster)
	// maxMedian is the upper bound of the median gap; zero for the baseline.
	maxMedian time.Duration
	// lease is the length of the baseline's lease; zero for the design under test.
	lease time.Duration
}

// The primary is lost at a random time. The gap is the time until a write through an
// instance of another failure domain is acknowledged, with a new try every two
// milliseconds. The baseline may claim only after a lease on the platform, renewed
// every third of its length, has expired.
func TestFailoverGap(t *testing.T) {
	kill := func(x *cluster) { x.nodes[0].Kill() }
	cut := func(x *cluster) { x.cutDomain(0, x.net.Cut) }
	for _, c := range []gapCase{
		{name: "kill", breakPrimary: kill, maxMedian: maxMedianGap},
		{name: "cut", breakPrimary: cut, maxMedian: maxMedianGap},
		{name: "kill, claimer dies", maxMedian: maxP99Gap, breakPrimary: func(x *cluster) {
			x.onFirstStep(failover.StepClaimed, x.killInstance)
			kill(x)
		}},
		{name: "kill, lease of 1 s", breakPrimary: kill, lease: time.Second},
		{name: "kill, lease of 3 s", breakPrimary: kill, lease: 3 * time.Second},
	} {
		var gaps []time.Duration
		phases := map[string][]time.Duration{}
		for s := range *gapRuns {
			withCluster(t, uint64(s), func(x *cluster) {
				r := rand.New(rand.NewPCG(x.seed, 9))
				x.delayClaimsForLease(r, c.lease)
				x.advance(time.Duration(r.IntN(100_000)) * time.Microsecond)
				gaps = append(gaps, x.measureGap(c.breakPrimary))
				x.advance(100 * time.Millisecond)
				for name, d := range phasesOf(x.gaps[0]) {
					phases[name] = append(phases[name], d)
				}
			})
		}
		t.Logf("%-20s n=%d p50=%v p99=%v", c.name, len(gaps), percentile(gaps, 50), percentile(gaps, 99))
		for _, name := range []string{"detect", "claim", "fence", "promote", "learn"} {
			t.Logf("  %-18s p50=%v p99=%v", name, percentile(phases[name], 50), percentile(phases[name], 99))
		}
		if c.lease == 0 && (percentile(gaps, 50) > c.maxMedian || percentile(gaps, 99) > maxP99Gap) {
			t.Errorf("%s: gap too long: %v", c.name, gaps)
		}
	}
}

// delayClaimsForLease blocks every claim until the lease expires. The lease was last
// renewed a random part of a third of its length before the primary is lost.
func (x *cluster) delayClaimsForLease(r *rand.Rand, lease time.Duration) {
	if lease == 0 {
		return
	}
	remaining := lease - time.Duration(r.Int64N(int64(lease/3)))
	var once sync.Once
	var end time.Time
	for _, i := range x.instances {
		i.onStep = func(s failover.Step) {
			if s != failover.StepWitnessed {
				return
			}
			once.Do(func() { end = time.Now().Add(remaining - failover.DefaultSettings().DetectionTime) })
			<-time.After(time.Until(end))
		}
	}
}

// measureGap makes the primary fail and returns the time until the first write after
// that is acknowledged.
func (x *cluster) measureGap(breakPrimary func(*cluster)) time.Duration {
	const every = 2 * time.Millisecond
	breakPrimary(x)
	start := time.Now()
	acked := make(chan time.Duration, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	for k := 0; ; k++ {
		wg.Go(func() {
			if x.write(x.instances[1+k%2], fmt.Sprintf("gap-%d", k)) == nil {
				select {
				case acked <- time.Since(start):
				default:
				}
			}
		})
		select {
		case gap := <-acked:
			return gap
		default:
			_ = clock.Sleep(x.t.Context(), clock.System{}, every)
		}
	}
}

func phasesOf(g failover.Timings) map[string]time.Duration {
	return map[string]time.Duration{
		"detect": g.Detect, "claim": g.Claim, "fence": g.Fence, "promote": g.Promote, "learn": g.Attach,
	}
}

// percentile returns the smallest value that at least p percent of the values do not exceed.
func percentile(all []time.Duration, p int) time.Duration {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[(len(sorted)*p+99)/100-1].Round(time.Millisecond)
}
