package failover

import (
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// replacement bounds how often the primary of a group is replaced for failing its statements. What
// other claimers did is known from the group's record on the platform. Times are this instance's
// own: a cooldown begins when it first saw the term, or read of it, and a claimer that restarted
// therefore waits longer, never shorter.
type replacement struct {
	cooldown time.Duration
	backoff  backoff
	// earliest is the time before which no claim for a failing primary is made. Claims for other
	// causes do not wait for it.
	earliest time.Time
	// term is the last known term that was claimed for a failing primary, and since is when this
	// instance first knew of it.
	term  logpos.Term
	since time.Time
	// objected is set while the other failure domains do not agree, so that this is logged once.
	objected bool
}

// coolingDown reports whether a primary was replaced for failing its statements too recently for
// another replacement, and until when. A claim that led to no primary replaced none.
func (r *replacement) coolingDown(now time.Time, current Record, s *group.Snapshot, w workWatch) bool {
	if current.FailingTerm == 0 || s.LedTerm < current.FailingTerm {
		return false
	}
	if current.FailingTerm > r.term {
		r.term, r.since = current.FailingTerm, now
		if w.term == current.FailingTerm {
			r.since = w.termSince
		}
	}
	end := r.since.Add(r.cooldown)
	if !now.Before(end) {
		return false
	}
	r.earliest = end
	return true
}

// completed records that this instance replaced a primary in a term.
func (r *replacement) completed(now time.Time, term logpos.Term) {
	r.term, r.since, r.earliest = term, now, now.Add(r.cooldown)
	r.reset()
}

// delay schedules the next try after the other failure domains did not agree.
func (r *replacement) delay(now time.Time) { r.earliest = now.Add(r.backoff.nextDelay()) }

// reset ends the tries for one primary.
func (r *replacement) reset() {
	r.backoff.reset()
	r.objected = false
}
