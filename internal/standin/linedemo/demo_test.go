package linedemo

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The report tells a broken promise from a refusal: a lost or stale write fails the
// demo, and so does a primary that nobody replaced; refusals and unknown outcomes do
// not.
func TestReportTellsBrokenPromises(t *testing.T) {
	is := is.New(t)
	is.True(!(&Report{Refused: 3, Unknown: 1, GapMS: 600}).Failed())
	is.True((&Report{Lost: 1, GapMS: 600}).Failed())
	is.True((&Report{Stale: 1, GapMS: 600}).Failed())
	is.True((&Report{GapMS: -1}).Failed())
}

// The gap runs to the first acknowledgement that cannot have been on its way when the
// primary was killed.
func TestGapSkipsAnswersUnderWay(t *testing.T) {
	is := is.New(t)
	killed := time.Now()
	r := &Report{acknowledged: []time.Time{killed.Add(-time.Second), killed.Add(time.Millisecond), killed.Add(600 * time.Millisecond)}}
	is.Equal(r.firstWriteAfter(killed), 600*time.Millisecond)
	is.True((&Report{}).firstWriteAfter(killed) < 0)
}
