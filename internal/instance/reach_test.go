package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A failure domain is cut off for six seconds, and its link flaps once at the end. The
// instance reports the cut after cutOffAfter, disconnects idle callers once the balancer
// has noticed, and accepts callers again only when the link stays up.
func TestCutOffInstanceDismissesIdleCallers(t *testing.T) {
	is := is.New(t)
	var detector reachDetector
	start := time.Now()
	at := func(d time.Duration, reached int) reachEvent { return detector.update(start.Add(d), 3, reached) }
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

// One group of three has lost its members. The instance serves the other two and must not
// consider itself cut off.
func TestOneLostGroupIsNoCut(t *testing.T) {
	is := is.New(t)
	var detector reachDetector
	for k := range 20 {
		is.Equal(detector.update(time.Unix(int64(k), 0), 3, 2), reachUnchanged)
	}
	is.Equal(detector.update(time.Unix(30, 0), 0, 0), reachUnchanged)
}

// An instance that is cut off is no longer home to any group and gets no counts from other
// homes. It must not conclude from this that the cut is over, and accepts callers again only
// when it reaches a majority.
func TestCutOffInstanceThatHearsNothingStaysCutOff(t *testing.T) {
	is := is.New(t)
	var detector reachDetector
	start := time.Now()
	at := func(d time.Duration, groups, reached int) reachEvent {
		return detector.update(start.Add(d), groups, reached)
	}
	is.Equal(at(0, 3, 0), reachUnchanged)
	is.Equal(at(time.Second, 3, 0), reachLost)
	is.Equal(at(2*time.Second, 0, 0), reachUnchanged)
	is.Equal(at(3*time.Second, 0, 0), reachUnchanged)
	is.Equal(at(4*time.Second, 0, 0), reachDismissCallers)
	is.Equal(at(5*time.Second, 1, 1), reachUnchanged)
	is.Equal(at(6*time.Second, 1, 1), reachRestored)
}
