package linedemo

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A lost write, a stale read or a primary that was never replaced fails the demo.
// Refusals and unknown outcomes do not.
func TestFailedReportsBrokenGuarantees(t *testing.T) {
	is := is.New(t)
	is.True(!(&Report{Refused: 3, Unknown: 1, GapMS: 600}).Failed())
	is.True((&Report{Lost: 1, GapMS: 600}).Failed())
	is.True((&Report{Stale: 1, GapMS: 600}).Failed())
	is.True((&Report{GapMS: -1}).Failed())
}

// The gap ends at the first acknowledgement that cannot have been in flight when the
// primary was killed.
func TestGapSkipsInFlightResponses(t *testing.T) {
	is := is.New(t)
	killed := time.Now()
	r := &Report{ackTimes: []time.Time{killed.Add(-time.Second), killed.Add(time.Millisecond), killed.Add(600 * time.Millisecond)}}
	is.Equal(r.gapAfter(killed), 600*time.Millisecond)
	is.True((&Report{}).gapAfter(killed) < 0)
}
