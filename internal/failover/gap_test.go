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

// Bounds of the failover gap, in virtual time. The median is bounded where the
// claimer lives.
const (
	maxMedianGap = 400 * time.Millisecond
	maxP99Gap    = time.Second
)

// gapCase is one way to lose a primary, and what holds a claim back.
type gapCase struct {
	name string
	lose func(x *cluster)
	// median bounds the median; zero for the baseline.
	median time.Duration
	// lease is the time-limited lease of the baseline; zero for the product.
	lease time.Duration
}

// The primary is lost at a random moment. The gap is the time until a write
// through an instance of another failure domain is acknowledged, with a new try
// every two milliseconds. The baseline may claim only when a lease on the
// platform, renewed every third of its length, has run out.
func TestFailoverGap(t *testing.T) {
	kill := func(x *cluster) { x.nodes[0].Kill() }
	cut := func(x *cluster) { x.cutDomain(0, x.net.Cut) }
	for _, c := range []gapCase{
		{name: "kill", lose: kill, median: maxMedianGap},
		{name: "cut", lose: cut, median: maxMedianGap},
		{name: "kill, claimer dies", median: maxP99Gap, lose: func(x *cluster) {
			x.onFirstStep(failover.StepClaimed, x.killInstance)
			kill(x)
		}},
		{name: "kill, lease of 1 s", lose: kill, lease: time.Second},
		{name: "kill, lease of 3 s", lose: kill, lease: 3 * time.Second},
	} {
		var gaps []time.Duration
		phases := map[string][]time.Duration{}
		for s := range *gapRuns {
			withCluster(t, uint64(s), func(x *cluster) {
				r := rand.New(rand.NewPCG(x.seed, 9))
				x.delayClaimsForLease(r, c.lease)
				x.advance(time.Duration(r.IntN(100_000)) * time.Microsecond)
				gaps = append(gaps, x.measureGap(c.lose))
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
		if c.lease == 0 && (percentile(gaps, 50) > c.median || percentile(gaps, 99) > maxP99Gap) {
			t.Errorf("%s: gap too long: %v", c.name, gaps)
		}
	}
}

// delayClaimsForLease makes every claim wait for the end of the lease: renewed a random
// part of a third of its length before the primary is lost.
func (x *cluster) delayClaimsForLease(r *rand.Rand, lease time.Duration) {
	if lease == 0 {
		return
	}
	left := lease - time.Duration(r.Int64N(int64(lease/3)))
	var once sync.Once
	var end time.Time
	for _, i := range x.instances {
		i.onStep = func(s failover.Step) {
			if s != failover.StepWitnessed {
				return
			}
			once.Do(func() { end = time.Now().Add(left - failover.DefaultSettings().Detect) })
			<-time.After(time.Until(end))
		}
	}
}

// measureGap loses the primary and returns when the first write after it was
// acknowledged.
func (x *cluster) measureGap(lose func(*cluster)) time.Duration {
	const every = 2 * time.Millisecond
	lose(x)
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

func phasesOf(g failover.Gap) map[string]time.Duration {
	return map[string]time.Duration{
		"detect": g.Detect, "claim": g.Claim, "fence": g.Fence, "promote": g.Promote, "learn": g.Learn,
	}
}

// percentile returns the smallest value that p percent do not exceed.
func percentile(all []time.Duration, p int) time.Duration {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[(len(sorted)*p+99)/100-1].Round(time.Millisecond)
}
