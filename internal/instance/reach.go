package instance

import "time"

const (
	// cutOffAfter is how long an instance must lack the majority in most groups before it
	// considers itself cut off. It is long compared with the time in which the probes of a
	// single lost member fail, which they do one after another.
	cutOffAfter = 300 * time.Millisecond
	// restoreAfter is how long the instance must no longer lack the majority in most groups
	// before callers are accepted again: a flapping link would otherwise bring them back
	// too early.
	restoreAfter = 300 * time.Millisecond
	// dismissAfter is when idle callers are disconnected, counted from when the instance
	// became not ready. The balancer needs two probes one second apart to notice; a caller
	// that reconnects earlier would be sent back here.
	dismissAfter = 2200 * time.Millisecond
	// hintValidity is how long after a hint the instance considers itself cut off without
	// waiting for cutOffAfter. A hint means that all links became silent at the same time.
	// Members that are probed immediately after it have answered or timed out within
	// hintValidity, even if recent answers were slow.
	hintValidity = 1500 * time.Millisecond
)

// reachDetector decides whether an instance is cut off from the groups: for most of them it
// reaches less than a majority of the members. It can then confirm nothing, whatever the
// other instances do, and its callers are better served elsewhere. A single group that is
// down does not mean that the instance is cut off. It does no I/O.
type reachDetector struct {
	// minority is set while the instance reaches a majority of the members in less than
	// half of the groups, and changedAt is when this last changed.
	changedAt time.Time
	minority  bool
	// cutOff is set while the instance is cut off, cutOffSince is when that began, and
	// dismissed is set if idle callers have been disconnected since then.
	cutOff      bool
	cutOffSince time.Time
	dismissed   bool
	// hintedAt is when hint was last called.
	hintedAt time.Time
}

// hint records that all links became silent at the same time.
func (d *reachDetector) hint(now time.Time) { d.hintedAt = now }

// hintActive reports whether the last hint is still valid.
func (d *reachDetector) hintActive(now time.Time) bool { return now.Sub(d.hintedAt) < hintValidity }

// reachEvent is the result of a reachability check.
type reachEvent int

// Results of a reachability check.
const (
	reachUnchanged reachEvent = iota
	reachLost
	reachRestored
	// reachDismissCallers means that idle callers must be disconnected, so that they
	// reconnect to other instances.
	reachDismissCallers
)

// update evaluates a reachability check. groups is the number of groups that were checked,
// and reached is in how many of them a majority of the members is reached.
func (d *reachDetector) update(now time.Time, groups, reached int) reachEvent {
	minority := groups > 0 && 2*reached < groups
	if groups == 0 && d.cutOff {
		// Without information, the instance stays cut off. A single instance that accepted
		// callers again would bring its whole failure domain back into the balancer, which
		// uses all instances of a failure domain where few are ready.
		minority = true
	}
	if minority != d.minority {
		d.minority, d.changedAt = minority, now
	}
	elapsed := now.Sub(d.changedAt)
	switch {
	case minority && !d.cutOff && (elapsed >= cutOffAfter || d.hintActive(now)):
		d.cutOff, d.cutOffSince, d.dismissed = true, now, false
		return reachLost
	case !minority && d.cutOff && elapsed >= restoreAfter:
		d.cutOff = false
		return reachRestored
	case d.cutOff && !d.dismissed && now.Sub(d.cutOffSince) >= dismissAfter:
		d.dismissed = true
		return reachDismissCallers
	}
	return reachUnchanged
}
