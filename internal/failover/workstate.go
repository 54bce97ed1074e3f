package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/memberhealth"
)

// WorkState is an instance's assessment of the statements that it sent to a primary.
type WorkState string

// States of a primary's work. Every other value, the empty one included, means that the instance
// cannot tell.
const (
	// WorkFailing: the primary fails all statements of this instance, or nearly all.
	WorkFailing WorkState = "failing"
	// WorkServing: the primary serves statements of this instance.
	WorkServing WorkState = "serving"
	// WorkUnknown: the instance has sent too few statements, or what it saw is not plausible.
	WorkUnknown WorkState = ""
)

const (
	// minFailedStatements is how many statements must have failed before their share counts. Fewer
	// may all belong to one caller.
	minFailedStatements = 5
	// failedPerServed is how many statements must fail for each one that is served. A primary that
	// serves more than one in five still does more work than none does during a replacement.
	failedPerServed = 4
)

// workState assesses a primary's work at one moment. Only failed and silent statements count as
// failed: one that is answered slowly counts as served.
func workState(now time.Time, w memberhealth.Work) WorkState {
	switch {
	case !plausibleWork(now, w):
		return WorkUnknown
	case failsAll(w) || failsMost(w):
		return WorkFailing
	case w.Served > 0:
		return WorkServing
	default:
		return WorkUnknown
	}
}

// failsAll reports whether no statement was served since the first of the latest failed ones.
func failsAll(w memberhealth.Work) bool {
	return w.Failing() && !w.LastServedAt.After(w.FailingSince)
}

// failsMost reports whether nearly all statements of the recent past failed.
func failsMost(w memberhealth.Work) bool {
	return w.Failed >= minFailedStatements && w.Failed/failedPerServed >= w.Served
}

// plausibleWork reports whether the values can be observations made until now.
func plausibleWork(now time.Time, w memberhealth.Work) bool {
	return w.Served >= 0 && w.Failed >= 0 && w.Incarnation >= 0 &&
		!w.FailingSince.After(now) && !w.LastServedAt.After(now)
}
