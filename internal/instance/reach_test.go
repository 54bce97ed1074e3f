package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A failure domain is cut off for six seconds, and its link flaps once at the end. The
// instance says so soon, sends idle callers elsewhere once the balancer has seen it,
// and takes callers again only when the link holds.
func TestCutOffInstanceDismissesIdleCallers(t *testing.T) {
	is := is.New(t)
	var r reachDetector
	start := time.Now()
	at := func(d time.Duration, reached int) reachEvent { return r.update(start.Add(d), 3, reached) }
	is.Equal(at(0, 3), reachUnchanged)
	is.Equal(at(time.Second, 1), reachUnchanged)
	is.Equal(at(1200*time.Millisecond, 0), reachUnchanged)
	is.Equal(at(1300*time.Millisecond, 0), reachLost)
	is.Equal(at(2*time.Second, 0), reachUnchanged)
	is.Equal(at(3500*time.Millisecond, 0), reachDismissCallers)
	is.Equal(at(4*time.Second, 0), reachUnchanged)
	is.Equal(at(6*time.Second, 3), reachUnchanged)
	is.Equal(at(6100*time.Millisecond, 0), reachUnchanged)
	is.Equal(at(6200*time.Millisecond, 3), reachUnchanged)
	is.Equal(at(6500*time.Millisecond, 3), reachRestored)
}

// One group of three has lost its members. The instance serves the other two, and
// stays.
func TestOneLostGroupIsNoCut(t *testing.T) {
	is := is.New(t)
	var r reachDetector
	for k := range 20 {
		is.Equal(r.update(time.Unix(int64(k), 0), 3, 2), reachUnchanged)
	}
	is.Equal(r.update(time.Unix(30, 0), 0, 0), reachUnchanged)
}

// A cut-off instance is home to no group any more and nobody tells it what is reached. That
// is no sign that the cut is over: it takes callers again only when a majority is reached.
func TestCutOffInstanceThatHearsNothingStaysCutOff(t *testing.T) {
	is := is.New(t)
	var r reachDetector
	start := time.Now()
	at := func(d time.Duration, groups, reached int) reachEvent { return r.update(start.Add(d), groups, reached) }
	is.Equal(at(0, 3, 0), reachUnchanged)
	is.Equal(at(time.Second, 3, 0), reachLost)
	is.Equal(at(2*time.Second, 0, 0), reachUnchanged)
	is.Equal(at(3*time.Second, 0, 0), reachUnchanged)
	is.Equal(at(4*time.Second, 0, 0), reachDismissCallers)
	is.Equal(at(5*time.Second, 1, 1), reachUnchanged)
	is.Equal(at(6*time.Second, 1, 1), reachRestored)
}
