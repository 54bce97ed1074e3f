package failover

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// attempt carries out the failover of one claimed term: it fences the members,
// promotes one, attaches the others and records the result.
type attempt struct {
	claimer        *Claimer
	claim          claim
	term           logpos.Term
	memberAttempts []*memberAttempt
	// snapshot is the group's state when the attempt began; its members are fenced.
	snapshot *group.Snapshot
	// fenced receives each member's report once it has entered the term.
	fenced chan fencedMember
	// targetChosen is closed after target was set, which happens once per attempt.
	// promoted is closed after the target has confirmed its promotion.
	targetChosen chan struct{}
	target       string
	promoted     chan struct{}
	// recorded is the record of the promotion once it is stored.
	recorded     Record
	announcement announcement
	// abort cancels the attempt with a reason.
	abort context.CancelCauseFunc
}

// fencedMember is a member that has entered the term, with its status at that time.
// Its log cannot change until it is promoted or follows a primary.
type fencedMember struct {
	memberAttempt *memberAttempt
	status        member.Status
}

func newAttempt(c *Claimer, won claim, s *group.Snapshot) *attempt {
	a := &attempt{
		claimer: c, claim: won, term: won.record.Term,
		fenced:       make(chan fencedMember, len(s.Members)),
		targetChosen: make(chan struct{}),
		promoted:     make(chan struct{}),
		snapshot:     s,
		announcement: announcement{record: won.record, version: won.version},
	}
	for _, m := range s.Members {
		avoided := won.record.Cause.avoidsPrimary() && m.Address == s.Primary
		a.memberAttempts = append(a.memberAttempts, &memberAttempt{attempt: a, address: m.Address, avoid: m.Leaving || avoided, failing: c.failsWork(m.Address),
			requestedBefore: m.Address == won.requestedBefore})
	}
	return a
}

// run carries out the failover and fills in the phases of gap. It returns an error if
// the attempt ended before the chosen member confirmed its promotion.
func (a *attempt) run(ctx context.Context, gap *Timings) error {
	ctx, abort := context.WithCancelCause(ctx)
	a.abort = abort
	var wg sync.WaitGroup
	defer wg.Wait()
	defer abort(nil)
	attemptCtx, cancel := context.WithTimeout(ctx, a.remaining())
	defer cancel()
	wg.Go(func() { a.watchTerm(attemptCtx) })
	for _, m := range a.memberAttempts {
		wg.Go(func() { m.run(attemptCtx) })
	}
	start := a.claimer.Clock.Now()
	if err := a.fenceAndChoose(attemptCtx); err != nil {
		return err
	}
	gap.Primary = a.target
	gap.Fence, start = a.elapsedSince(start)
	select {
	case <-a.promoted:
	case <-attemptCtx.Done():
		return context.Cause(attemptCtx)
	}
	a.claimer.callHook(StepPromoted)
	gap.Promote, start = a.elapsedSince(start)
	recorded := make(chan struct{})
	wg.Go(func() {
		defer close(recorded)
		a.recordPrimary(attemptCtx)
	})
	a.awaitAttachedReplica(attemptCtx)
	gap.Attach, _ = a.elapsedSince(start)
	a.claimer.callHook(StepAttached)
	waitFor(attemptCtx, recorded)
	return nil
}

// remaining returns the time until the attempt expires. It is counted from when the
// claim was sent: other instances start their takeover timeout when they read the
// claim, which cannot be earlier.
func (a *attempt) remaining() time.Duration {
	return a.claimer.Settings.AttemptTimeout - a.claim.age.Elapsed()
}

// elapsedSince returns the time since start, and the current time.
func (a *attempt) elapsedSince(start time.Time) (time.Duration, time.Time) {
	now := a.claimer.Clock.Now()
	return now.Sub(start), now
}

// fenceAndChoose waits for a quorum of fenced members and chooses the one to promote.
//
// An attempt never changes its target: if the answer to the promotion is lost, the
// target may already be primary, and a second primary in the same term would
// acknowledge writes that the first does not have.
func (a *attempt) fenceAndChoose(ctx context.Context) error {
	candidates, err := a.awaitQuorum(ctx)
	if err != nil {
		return err
	}
	a.claimer.callHook(StepFenced)
	winner := selectCandidate(candidates)
	a.target = winner.memberAttempt.address
	a.claimer.log.Info("Member is promoted.", "term", a.term, "member", a.target, "log_end", winner.status.LastRecord, "fenced", len(candidates))
	close(a.targetChosen)
	a.claimer.callHook(StepChosen)
	return nil
}

// awaitQuorum returns a quorum of fenced members. In a planned switch-over it first
// waits up to SwitchGrace for a quorum without the members to avoid: such a quorum holds
// all acknowledged writes, so the primary does not need to be promoted again.
func (a *attempt) awaitQuorum(ctx context.Context) ([]fencedMember, error) {
	grace := a.claimer.Clock.NewTimer(a.claimer.Settings.SwitchGrace)
	defer grace.Stop()
	planned := a.claim.record.Cause.planned()
	var all, preferred []fencedMember
	for {
		switch {
		case a.isQuorum(preferred):
			return preferred, nil
		case a.isQuorum(all) && !planned:
			return all, nil
		}
		select {
		case f := <-a.fenced:
			all = append(all, f)
			if planned && !f.memberAttempt.avoid {
				preferred = append(preferred, f)
			}
		case <-grace.C:
			planned = false
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// isQuorum reports whether the fenced members are a quorum of the group.
func (a *attempt) isQuorum(fenced []fencedMember) bool {
	return a.snapshot.IsQuorum(func(m group.MemberView) bool {
		return slices.ContainsFunc(fenced, func(f fencedMember) bool { return f.memberAttempt.address == m.Address })
	})
}

// watchTerm aborts the attempt once a higher term is seen.
func (a *attempt) watchTerm(ctx context.Context) {
	for {
		changed := a.claimer.View.Changes()
		if a.claimer.View.Snapshot().Term > a.term {
			a.abort(errTermSuperseded)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// awaitAttachedReplica waits until the view shows the new primary with enough replicas
// attached for a write to be confirmed, or until the new primary fails.
func (a *attempt) awaitAttachedReplica(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.claimer.View.Changes()
		s := a.claimer.View.Snapshot()
		m, _ := s.FindMember(a.target)
		if s.Term == a.term && s.Primary == a.target && !s.QuorumAttachedAt.IsZero() || m.Failures > 0 {
			return
		}
		// The view signals no change when a replica attaches, so poll for it.
		a.claimer.pause(ctx, attachPollInterval, changed)
	}
}

// attachPollInterval is the interval at which an attempt checks for an attached replica.
const attachPollInterval = 2 * time.Millisecond

// recordPrimary stores the primary in the group's object. Operators and the next
// claimer's log use it; correctness does not depend on it, so the number of tries
// is limited.
func (a *attempt) recordPrimary(ctx context.Context) {
	r := a.announcement.record
	r.Primary = a.target
	for range maxRecordTries {
		if _, err := a.claimer.storeRecord(ctx, r, a.announcement.version); err == nil {
			a.recorded = r
			a.claimer.callHook(StepRecorded)
			return
		}
		a.claimer.pause(ctx, a.claimer.Settings.MinBackoff, nil)
	}
}

// maxRecordTries limits the tries to record the primary.
const maxRecordTries = 3
