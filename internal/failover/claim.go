package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/platform"
)

// claim is a term that the platform granted to this instance.
type claim struct {
	record  Record
	version platform.Revision
	// age counts from when the claim was first sent; no other instance can have read it earlier.
	age clock.Stopwatch
	// requestedBefore is the member whose promotion an earlier claimer may still request; empty if
	// there is none.
	requestedBefore string
}

// claimTerm claims the next term on the platform.
func (m *primaryMonitor) claimTerm(ctx context.Context, s *group.Snapshot, a assessment) (claim, error) {
	current, version, err := m.claimer.readRecord(ctx)
	if err != nil {
		return claim{}, err
	}
	if m.claimPending(current, s) && !m.claimExpired(current, s) {
		return claim{}, ErrRivalClaim
	}
	if m.mayHaveLostClaim(current) {
		return claim{}, errForgottenClaim
	}
	if a.cause == CauseFailing && m.replacement.coolingDown(m.claimer.Clock.Now(), current, s, m.detector.work) {
		return claim{}, errCoolingDown
	}
	// Querying the witnesses and reading the platform took time, or this process was
	// paused in between. A claim based on an outdated failure would depose a primary
	// that has recovered, so check again immediately before the update.
	if !m.causeHolds(s, a) {
		return claim{}, errRecovered
	}
	next := Record{Term: m.nextTerm(current, s), Number: nextNumber(current, version), Claim: m.newClaimID(), Claimer: m.claimer.Self.ID, Cause: a.cause, FailingTerm: current.FailingTerm}
	if a.cause == CauseFailing {
		next.FailingTerm = next.Term
	}
	won, err := m.putClaim(ctx, next, version)
	if err == nil && !m.causeHolds(s, a) {
		return claim{}, errRecovered
	}
	if current.mayBeRequested() {
		won.requestedBefore = current.Target
	}
	return won, err
}

// nextNumber returns the fencing token of a claim that replaces a record of the given revision. A
// store that returned from a copy may have lost claims, and their numbers with them; the revision
// exceeds all revisions of earlier eras, and only one claim can replace it.
func nextNumber(current Record, replaced platform.Revision) uint64 {
	return max(current.Number, uint64(replaced)) + 1
}

// numberEra returns the era of the store in which a record with a number was claimed.
func numberEra(number uint64) int64 { return platform.Revision(number).Era() }

// mayHaveLostClaim reports whether the store may have lost a claim whose attempt has not ended
// yet: the store returned from a copy, and no claim has been made since. The claimer of a lost
// claim continues until its attempt expires.
func (m *primaryMonitor) mayHaveLostClaim(r Record) bool {
	eras := m.claimer.Platform.Eras()
	return numberEra(r.Number) < eras.Latest() && m.claimer.Clock.Now().Before(m.lostClaimsEnd())
}

// lostClaimsEnd returns when the attempts of all claims that the store has lost have ended; the
// zero time if it never lost any.
func (m *primaryMonitor) lostClaimsEnd() time.Time {
	returnedAt := m.claimer.Platform.Eras().ReturnedAt()
	if returnedAt.IsZero() {
		return returnedAt
	}
	return returnedAt.Add(max(m.claimer.Settings.AttemptTimeout, m.claimer.Settings.TakeoverTimeout))
}

// claimPending reports whether a claim may still lead to a promotion. Where members
// assign terms themselves, they enter the claimed term before any of them becomes
// primary in it, so only a primary's own report ends the claim.
func (m *primaryMonitor) claimPending(r Record, s *group.Snapshot) bool {
	if r.unreadable {
		return true
	}
	if m.claimer.MembersAssignTerms {
		return r.Term > s.LedTerm
	}
	return r.Term > s.Term
}

// nextTerm returns the term to claim. Where members assign terms themselves, a
// promotion always results in the successor of the highest term they know, whatever
// was claimed: a failed claim leaves no gap, and its term is claimed again.
func (m *primaryMonitor) nextTerm(current Record, s *group.Snapshot) logpos.Term {
	if m.claimer.MembersAssignTerms {
		return s.LedTerm + 1
	}
	return max(current.Term, s.Term) + 1
}

// causeHolds reports whether the cause of a claim still applies.
func (m *primaryMonitor) causeHolds(s *group.Snapshot, a assessment) bool {
	now, current := m.claimer.Clock.Now(), m.claimer.View.Snapshot()
	if current.Term != s.Term || m.detector.causeOf(now, current) != a.cause {
		return false
	}
	return a.cause != CauseFailing || !m.detector.work.evidence(now, current).since.After(a.since)
}

// newClaimID returns a unique claim ID. The instance's ID distinguishes claims of
// different instances, the random part those of one instance, also across restarts.
func (m *primaryMonitor) newClaimID() string {
	return fmt.Sprintf("%s/%016x%016x", m.claimer.Self.ID, m.claimer.Rand.Uint64(), m.claimer.Rand.Uint64())
}

// putClaim stores the claim. If the answer is lost, it reads the object back: the
// object then holds this claim, another claim, or is unchanged. In the last case
// putClaim sends the same update again; if the first one is still in transit, the
// version check lets only one of the two take effect. A claim that was stored in a later era of
// the store than it was decided in may have replaced another one and is lost.
func (m *primaryMonitor) putClaim(ctx context.Context, r Record, version platform.Revision) (claim, error) {
	outcomeUnknown, age := false, clock.StartStopwatch(m.claimer.Clock)
	for {
		o, err := m.claimer.storeRecord(ctx, r, version)
		switch {
		case err == nil && o.Version.Era() != version.Era():
			return claim{}, ErrLostClaim
		case err == nil:
			return claim{record: r, version: o.Version, age: age}, nil
		case errors.Is(err, platform.ErrConflict):
		case errors.Is(err, platform.ErrUnavailable) && !outcomeUnknown:
			return claim{}, err
		default:
			outcomeUnknown = true
		}
		current, currentVersion, err := m.readRecordWithRetry(ctx)
		switch {
		case err != nil:
			return claim{}, err
		case current.Claim == r.Claim && currentVersion.Era() == version.Era():
			return claim{record: r, version: currentVersion, age: age}, nil
		case currentVersion != version:
			return claim{}, ErrLostClaim
		}
	}
}

// readRecordWithRetry reads the record until the platform answers or ctx ends.
func (m *primaryMonitor) readRecordWithRetry(ctx context.Context) (Record, platform.Revision, error) {
	for {
		r, version, err := m.claimer.readRecord(ctx)
		if err == nil {
			return r, version, nil
		}
		m.claimer.pause(ctx, m.backoff.nextDelay(), nil)
		if ctx.Err() != nil {
			return Record{}, 0, ctx.Err()
		}
	}
}
