package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Three other failure domains are probed ten times a second. One is lost permanently, and
// the others miss single probes at different times, which must not be reported. Then all
// become silent: this is reported once, and again only after an answer.
func TestSilenceOfAllOtherDomainsIsReportedOnce(t *testing.T) {
	is := is.New(t)
	d := newIsolationDetector()
	start := time.Unix(100, 0)
	var reports []time.Duration
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		now := start.Add(at)
		cut := at >= 5*time.Second && at < 7*time.Second || at >= 8*time.Second && at < 9*time.Second
		for domain, missed := range map[string]bool{
			"lost":  at > time.Second,
			"first": cut || at%(700*time.Millisecond) == 0,
			"other": cut || at%(900*time.Millisecond) == 0,
		} {
			if !missed {
				d.recordAnswer(domain, now)
			}
		}
		if d.detectIsolation(now) {
			reports = append(reports, at)
		}
	}
	is.Equal(len(reports), 2)
	is.True(reports[0] <= 5*time.Second+isolationThreshold+100*time.Millisecond)
	is.True(reports[1] >= 8*time.Second)
}

// An instance that has not yet had an answer from another failure domain does not consider
// itself cut off.
func TestNoAnswerYetIsNoIsolation(t *testing.T) {
	is := is.New(t)
	d := newIsolationDetector()
	is.True(!d.detectIsolation(time.Unix(100, 0)))
}

// The instance does not run for a second, and checks for silence before it reads the
// answers that have arrived. Its own pause must not count as a cut, which would cost a new
// connection to every member. A real cut right after it is detected as fast as any other.
func TestOwnPauseIsNoCut(t *testing.T) {
	is := is.New(t)
	d := newIsolationDetector()
	now := time.Unix(100, 0)
	for range 10 {
		d.recordAnswer("other", now)
		is.True(!d.detectIsolation(now))
		now = now.Add(domainProbeInterval)
	}
	now = now.Add(time.Second)
	is.True(!d.detectIsolation(now))
	d.recordAnswer("other", now)
	cut := now
	for !d.detectIsolation(now) {
		now = now.Add(domainProbeInterval)
	}
	is.True(now.Sub(cut) <= isolationThreshold+domainProbeInterval)
}

// All instances are short of CPU time at once, as after a restart of the whole fleet, so
// that each answer arrives half a second after its probe. As long as answers arrive there
// is no cut.
func TestLateAnswersAreNoIsolation(t *testing.T) {
	is := is.New(t)
	d := newIsolationDetector()
	start := time.Unix(100, 0)
	for at := time.Duration(0); at < 3*time.Second; at += domainProbeInterval {
		if at >= 500*time.Millisecond {
			d.recordAnswer("other", start.Add(at))
		}
		is.True(!d.detectIsolation(start.Add(at)))
	}
}
