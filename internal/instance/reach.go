package instance

import "time"

const (
	// cutOffAfter is how long an instance must have reached only minorities before it
	// takes itself for cut off: long against the loss of one member, whose probes
	// fail one by one.
	cutOffAfter = 300 * time.Millisecond
	// restoreAfter is how long it must reach majorities again before callers are asked
	// to come: a link that flaps would else bring them back too soon.
	restoreAfter = 300 * time.Millisecond
	// dismissAfter is when idle callers are sent elsewhere, counted from when the
	// instance is not ready: the balancer needs two probes a second apart, and one
	// that reconnects before would come back here.
	dismissAfter = 2200 * time.Millisecond
	// hintValidity is how long a hint that all links fell silent at once spares cutOffAfter:
	// the time in which members that are asked at once have answered or are silent, by slow
	// answers of late.
	hintValidity = 1500 * time.Millisecond
)

// reach decides whether an instance is cut off from the groups: it reaches less than a
// majority of the members of most of them. It can then confirm nothing, whatever the
// others do, and its callers are better served elsewhere. One group that is down says
// nothing of the instance. It does no I/O.
type reachDetector struct {
	// changed is when what is reached last changed between minorities and majorities;
	// minority is what it changed to.
	changedAt time.Time
	minority  bool
	// cutOff is the present verdict, since when, and whether idle callers were sent
	// elsewhere since then.
	cutOff      bool
	cutOffSince time.Time
	dismissed   bool
	// hintedAt is when all links were last found to have fallen silent at once.
	hintedAt time.Time
}

// hint notes that all links fell silent at once.
func (r *reachDetector) hint(now time.Time) { r.hintedAt = now }

// hinted reports whether a hint counts.
func (r *reachDetector) hintActive(now time.Time) bool { return now.Sub(r.hintedAt) < hintValidity }

// reachEvent is what follows from a look at the groups.
type reachEvent int

// Events.
const (
	reachUnchanged reachEvent = iota
	reachLost
	reachRestored
	// reachDismissCallers asks that idle callers be sent elsewhere.
	reachDismissCallers
)

// note takes in how many of the groups are reached by a majority.
func (r *reachDetector) update(now time.Time, groups, reached int) reachEvent {
	minority := groups > 0 && 2*reached < groups
	if groups == 0 && r.cutOff {
		// Nobody can tell any more, which is no sign that the cut is over. A single instance
		// that took callers again would bring its whole failure domain back into the
		// balancer, which uses all instances where few are ready.
		minority = true
	}
	if minority != r.minority {
		r.minority, r.changedAt = minority, now
	}
	held := now.Sub(r.changedAt)
	switch {
	case minority && !r.cutOff && (held >= cutOffAfter || r.hintActive(now)):
		r.cutOff, r.cutOffSince, r.dismissed = true, now, false
		return reachLost
	case !minority && r.cutOff && held >= restoreAfter:
		r.cutOff = false
		return reachRestored
	case r.cutOff && !r.dismissed && now.Sub(r.cutOffSince) >= dismissAfter:
		r.dismissed = true
		return reachDismissCallers
	}
	return reachUnchanged
}
