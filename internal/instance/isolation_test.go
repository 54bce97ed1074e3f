package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Three other failure domains are asked ten times a second. One is lost for good, and the
// others miss a question each, at different times. That is no cut. Then all fall silent: it
// is reported once, and again only behind an answer.
func TestSilenceOfAllOtherDomainsIsReportedOnce(t *testing.T) {
	is := is.New(t)
	i := newIsolationDetector()
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
				i.recordAnswer(domain, now)
			}
		}
		if i.detectIsolation(now) {
			reports = append(reports, at)
		}
	}
	is.Equal(len(reports), 2)
	is.True(reports[0] <= 5*time.Second+isolationThreshold+100*time.Millisecond)
	is.True(reports[1] >= 8*time.Second)
}

// An instance that has heard of no other failure domain yet does not take itself for cut off.
func TestNoAnswerYetIsNoIsolation(t *testing.T) {
	is := is.New(t)
	i := newIsolationDetector()
	is.True(!i.detectIsolation(time.Unix(100, 0)))
}

// The instance does not get to run for a second, and comes to look before it comes to read
// the answers that wait for it. Its own pause is no cut, and would cost a new connection to
// every member. The real cut behind it is found as soon as any other.
func TestOwnPauseIsNoCut(t *testing.T) {
	is := is.New(t)
	i := newIsolationDetector()
	now := time.Unix(100, 0)
	for range 10 {
		i.recordAnswer("other", now)
		is.True(!i.detectIsolation(now))
		now = now.Add(domainProbeInterval)
	}
	now = now.Add(time.Second)
	is.True(!i.detectIsolation(now))
	i.recordAnswer("other", now)
	cut := now
	for !i.detectIsolation(now) {
		now = now.Add(domainProbeInterval)
	}
	is.True(now.Sub(cut) <= isolationThreshold+domainProbeInterval)
}

// All instances are short of processor time at once, as behind a return of all: each answer
// comes half a second behind its question. As long as answers come there is no cut.
func TestLateAnswersAreNoIsolation(t *testing.T) {
	is := is.New(t)
	i := newIsolationDetector()
	start := time.Unix(100, 0)
	for at := time.Duration(0); at < 3*time.Second; at += domainProbeInterval {
		if at >= 500*time.Millisecond {
			i.recordAnswer("other", start.Add(at))
		}
		is.True(!i.detectIsolation(start.Add(at)))
	}
}
