package homechoice

import (
	"time"

	"github.com/topazrock/topazrock/internal/execution"
)

const (
	// connectionsPerHome is how many connections an owner keeps at each home that serves it: one
	// to the primary and one to each of two replicas.
	connectionsPerHome = 3
	// openingWeight counts an opening's time twice: it is the caller's time, and that of a
	// member's slot for which other units wait.
	openingWeight = 2
	// transferShare is the cost of a unit's messages between failure domains as a part of that of an
	// opening: operators are charged for both.
	transferShare = 0.5
	// returnFactor is how much lower the benefit of near homes must have become for an owner to
	// return to one shared home, so that rates that vary do not move it back and forth.
	returnFactor = 0.5
	// defaultHopTime is assumed for a round trip between failure domains until one was measured.
	defaultHopTime = 1500 * time.Microsecond
	// defaultOpenTime is assumed for an opening until a home has measured one.
	defaultOpenTime = 10 * time.Millisecond
)

// nearBenefit returns the benefit of a home in each failure domain for an owner, relative to its
// cost. rate is the owner's rate in one failure domain and hop the time of a round trip to another.
//
// The benefit is the hops that the owner saves, in time and in transfer. The cost is that of its additional connections:
// each takes the place of one that another owner would have used again within about the lifetime of
// an idle connection, and that has to be opened then.
func nearBenefit(rate float64, r execution.HomeReport, hop time.Duration) float64 {
	opening := r.OpenTime
	if opening == 0 {
		opening = defaultOpenTime
	}
	cost := openingWeight * opening.Seconds()
	lifetime := max(r.IdleLifetime, time.Millisecond)
	saved := rate * (hop.Seconds() + transferShare*cost)
	return saved / (connectionsPerHome * cost / lifetime.Seconds())
}
