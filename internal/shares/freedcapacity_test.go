package shares

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFreedCapacityIsUsableElsewhere(t *testing.T) {
	// One instance's callers wait while another instance uses all of its share and then
	// frees it. The holder lends nothing of its recent peak for one to two windows of
	// peakWindow, and the borrower retries at the end of its backoff. Each run frees the
	// share at a different time relative to both.
	const longest = 3 * time.Minute
	var delays []time.Duration
	for i := range 30 {
		runSimulated(t, func(is *is.I, sim *simulation) {
			a, b, c := sim.startThree()
			for _, inst := range []*fakeInstance{b, c} {
				inst.connections.setDemand(inst.connections.currentLimit())
				inst.slots.setDemand(inst.slots.currentLimit())
			}
			a.connections.setDemand(30)
			sleep(3*peakWindow + time.Duration(i)*337*time.Millisecond)
			before := a.manager.Limit().Connections
			b.connections.setDemand(0)
			began := time.Now()
			for a.manager.Limit().Connections == before && time.Since(began) <= longest {
				sleep(10 * time.Millisecond)
			}
			delays = append(delays, time.Since(began))
		})
	}
	slices.Sort(delays)
	t.Logf("freed capacity usable elsewhere: n=%d p50=%v max=%v", len(delays), delays[len(delays)/2], delays[len(delays)-1])
	is.New(t).True(delays[len(delays)-1] <= longest)
}
