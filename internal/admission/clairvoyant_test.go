package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// clairvoyant schedules the callers of some phases at the member with all of them known in
// advance: whoever can be in time and is wanted first goes next, and nobody else is served.
// No schedule that knows less has more of them in time.
func optimalSchedule(seed uint64, phases []phase) []tally {
	tallies := make([]tally, len(phases))
	free := make([]time.Duration, burstSlots)
	waiting := drawArrivals(seed, phases)
	for _, a := range waiting {
		tallies[a.phase].requests++
	}
	for len(waiting) > 0 {
		slices.Sort(free)
		now := max(free[0], waiting[0].at)
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
			// All who have come are late by now.
			waiting = slices.DeleteFunc(waiting, func(a arrival) bool { return a.at <= now })
			continue
		}
		tallies[waiting[next].phase].inTime++
		free[0] = now + waiting[next].attempts[0].work
		waiting = slices.Delete(waiting, next, next+1)
	}
	return tallies
}

// The arrivals of the burst and of the slow member, by a schedule that knows them all: a
// second behind either, as many are in time as the tests of the gates ask for. What those
// miss is theirs.
func TestClairvoyantScheduleMeetsTheBounds(t *testing.T) {
	is := is.New(t)
	burst := optimalSchedule(7, burstPhases)
	logTallies(t, "clairvoyant, burst", burst)
	is.True(burst[3].fraction(burst[3].inTime) >= 0.95)
	slow := optimalSchedule(7, slowPhases)
	logTallies(t, "clairvoyant, slow member", slow)
	is.True(slow[3].fraction(slow[3].inTime) >= 0.98)
}
