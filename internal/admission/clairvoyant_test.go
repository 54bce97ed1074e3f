package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// clairvoyantSchedule schedules the callers of some phases at the member with all arrivals
// and durations known in advance. Of the callers that can still be in time, the one that is
// due first goes next; no others are served. No schedule that knows less gets more of them
// in time.
func clairvoyantSchedule(seed uint64, phases []phase) []tally {
	tallies := make([]tally, len(phases))
	freeAt := make([]time.Duration, burstSlots)
	waiting := drawArrivals(seed, phases)
	for _, a := range waiting {
		tallies[a.phase].requests++
	}
	for len(waiting) > 0 {
		slices.Sort(freeAt)
		now := max(freeAt[0], waiting[0].at)
		next := -1
		for k, a := range waiting {
			if a.at > now {
				break
			}
			if now+a.attempts[0].work <= a.at+burstObjective {
				next = k
				break
			}
		}
		if next < 0 {
			// All callers that have arrived are late by now.
			waiting = slices.DeleteFunc(waiting, func(a arrival) bool { return a.at <= now })
			continue
		}
		tallies[waiting[next].phase].inTime++
		freeAt[0] = now + waiting[next].attempts[0].work
		waiting = slices.Delete(waiting, next, next+1)
	}
	return tallies
}

// Checks that the bounds of the burst and slow-member tests can be met: with all arrivals
// known, as many callers are in time as those tests require, counted from one second after
// the burst or the slowdown.
// Any shortfall there is therefore caused by the gates.
func TestClairvoyantScheduleMeetsTheBounds(t *testing.T) {
	is := is.New(t)
	burst := clairvoyantSchedule(7, burstPhases)
	logTallies(t, "clairvoyant, burst", burst)
	is.True(burst[3].fraction(burst[3].inTime) >= 0.95)
	slow := clairvoyantSchedule(7, slowPhases)
	logTallies(t, "clairvoyant, slow member", slow)
	is.True(slow[3].fraction(slow[3].inTime) >= 0.98)
}
