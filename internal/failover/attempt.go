package failover

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/platform"
)

// attempt leads one claimed term: fence, choose, promote, attach, record.
type attempt struct {
	c              *Claimer
	claim          claim
	term           logpos.Term
	memberAttempts []*memberAttempt
	// group is the view that the attempt began with: its members are fenced.
	group *group.Snapshot
	// fenced takes each member's report once it has entered the term.
	fenced chan fencing
	// chosen is closed after target was set, once in the attempt's life, and
	// led after the target has answered that it leads.
	chosen chan struct{}
	target string
	led    chan struct{}
	// end abandons the attempt with a reason.
	end context.CancelCauseFunc
}

// fencing is a member that has entered the term, and its log's end. Until it is
// told to lead or follow, its log cannot change any more.
type fencing struct {
	memberAttempt *memberAttempt
	status        member.Status
}

func newAttempt(c *Claimer, won claim, s *group.Snapshot) *attempt {
	a := &attempt{
		c: c, claim: won, term: won.record.Term,
		fenced: make(chan fencing, len(s.Members)),
		chosen: make(chan struct{}),
		led:    make(chan struct{}),
		group:  s,
	}
	for _, m := range s.Members {
		stalled := won.record.Cause == CauseStalled && m.Address == s.Primary
		a.memberAttempts = append(a.memberAttempts, &memberAttempt{a: a, address: m.Address, avoid: m.Leaving || stalled})
	}
	return a
}

// run leads the term and fills in the phases of gap. Its error says why the term
// was left without a primary of this attempt's making.
func (a *attempt) run(ctx context.Context, gap *Gap) error {
	ctx, end := context.WithCancelCause(ctx)
	a.end = end
	var wg sync.WaitGroup
	defer wg.Wait()
	defer end(nil)
	limit, cancel := context.WithTimeout(ctx, a.left())
	defer cancel()
	wg.Go(func() { a.watchTerm(limit) })
	for _, w := range a.memberAttempts {
		wg.Go(func() { w.tend(limit) })
	}
	start := a.c.Clock.Now()
	if err := a.fenceAndChoose(limit); err != nil {
		return err
	}
	gap.Primary = a.target
	gap.Fence, start = a.lap(start)
	select {
	case <-a.led:
	case <-limit.Done():
		return context.Cause(limit)
	}
	a.c.at(StepPromoted)
	gap.Promote, start = a.lap(start)
	recorded := make(chan struct{})
	wg.Go(func() {
		defer close(recorded)
		a.record(limit)
	})
	a.learn(limit)
	gap.Learn, _ = a.lap(start)
	a.c.at(StepLearned)
	waitFor(limit, recorded)
	return nil
}

// left is the time that the attempt has left. It runs from when the claim was sent: others
// give a claim its time from when they read it, which cannot be before.
func (a *attempt) left() time.Duration {
	return a.claim.sent.Add(a.c.Settings.Attempt).Sub(a.c.Clock.Now())
}

// lap returns the time since start, and now.
func (a *attempt) lap(start time.Time) (time.Duration, time.Time) {
	now := a.c.Clock.Now()
	return now.Sub(start), now
}

// fenceAndChoose waits for enough fenced members and names the one to promote.
//
// One attempt names one target and never another: if the answer to its
// promotion is lost, it may lead already, and a second primary of one term would
// acknowledge writes that the first does not have.
func (a *attempt) fenceAndChoose(ctx context.Context) error {
	candidates, err := a.gather(ctx)
	if err != nil {
		return err
	}
	a.c.at(StepFenced)
	winner := best(candidates)
	a.target = winner.memberAttempt.address
	a.c.log.Info("Member is promoted.", "term", a.term, "member", a.target, "log_end", winner.status.Last, "fenced", len(candidates))
	close(a.chosen)
	a.c.at(StepChosen)
	return nil
}

// gather returns enough fenced members. Where the primary is to be avoided, it
// first waits a little for enough of the other members; they hold all that was
// acknowledged, so that the primary need not lead again.
func (a *attempt) gather(ctx context.Context) ([]fencing, error) {
	grace := a.c.Clock.NewTimer(a.c.Settings.SwitchGrace)
	defer grace.Stop()
	planned := a.claim.record.Cause.planned()
	var all, others []fencing
	for {
		switch {
		case a.enough(others):
			return others, nil
		case a.enough(all) && !planned:
			return all, nil
		}
		select {
		case f := <-a.fenced:
			all = append(all, f)
			if planned && !f.memberAttempt.avoid {
				others = append(others, f)
			}
		case <-grace.C:
			planned = false
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// enough reports whether the members that were fenced are a quorum of the group.
func (a *attempt) enough(fenced []fencing) bool {
	return a.group.Enough(func(m group.MemberView) bool {
		return slices.ContainsFunc(fenced, func(f fencing) bool { return f.memberAttempt.address == m.Address })
	})
}

// watchTerm abandons the attempt once a higher term is seen.
func (a *attempt) watchTerm(ctx context.Context) {
	for {
		changed := a.c.View.Changes()
		if a.c.View.Snapshot().Term > a.term {
			a.end(errReplaced)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// learn waits until the view has the new primary and enough replicas attached
// to it for a write to be confirmed, or the new primary fails.
func (a *attempt) learn(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.c.View.Changes()
		s := a.c.View.Snapshot()
		m, _ := s.Find(a.target)
		if s.Term == a.term && s.Primary == a.target && !s.ConfirmedAt.IsZero() || m.Failures > 0 {
			return
		}
		// An attachment is no change of the view, so look often for this while.
		a.c.pause(ctx, learnPause, changed)
	}
}

// learnPause is the time between two looks for an attached replica.
const learnPause = 2 * time.Millisecond

// record notes the primary in the group's object. It is for operators and for
// the next claimer's log; no promise rests on it, so that a few tries will do.
func (a *attempt) record(ctx context.Context) {
	r := a.claim.record
	r.Primary = a.target
	value, err := r.encode()
	if err != nil {
		return
	}
	for range recordTries {
		if a.recordOnce(ctx, value) {
			a.c.at(StepRecorded)
			return
		}
		a.c.pause(ctx, a.c.Settings.MinBackoff, nil)
	}
}

// recordTries bounds the tries to record the primary.
const recordTries = 3

func (a *attempt) recordOnce(ctx context.Context, value []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, a.c.Settings.Platform)
	defer cancel()
	_, err := a.c.Platform.Put(ctx, platform.KindGroup, a.c.Group, value, a.claim.version)
	return err == nil
}
