package failover

import (
	"context"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/group"
)

// idlePause bounds the time between two looks at a group without trouble.
// Changes wake the guard before; it only covers what raises no change, such as
// the first report of a member of a group that has no term yet.
const idlePause = time.Second

// guard claims a term when the primary is lost or leaves.
type guard struct {
	c         *Claimer
	suspicion suspicion
	rival     rival
	backoff   backoff
	// hold is the moment before which nothing is tried.
	hold time.Time
}

func newGuard(c *Claimer) *guard {
	return &guard{
		c:         c,
		suspicion: suspicion{settings: c.Settings},
		backoff:   backoff{low: c.Settings.MinBackoff, high: c.Settings.MaxBackoff, rand: c.Rand},
	}
}

// run looks at every change until ctx ends.
func (g *guard) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.c.View.Changes()
		now, s := g.c.Clock.Now(), g.c.View.Snapshot()
		v := g.suspicion.assess(now, s, g.c.rank(s))
		due := v.due
		if due.Before(g.hold) {
			due = g.hold
		}
		switch {
		case v.cause == CauseNone:
			g.backoff.reset()
			g.c.pause(ctx, idlePause, changed)
		case now.Before(due):
			g.c.pause(ctx, due.Sub(now), changed)
		default:
			g.act(ctx, s, v)
		}
	}
}

// act asks the witnesses, claims the next term and leads it.
func (g *guard) act(ctx context.Context, s *group.Snapshot, v verdict) {
	c := g.c
	c.at(StepSuspected)
	if !v.cause.planned() && !g.witnessed(ctx, s) {
		c.Metrics.claim(v.cause, outcomeRefused)
		g.holdFor(c.Settings.MinBackoff)
		return
	}
	c.at(StepWitnessed)
	decided := c.Clock.Now()
	won, err := g.claim(ctx, s, v)
	if err != nil {
		g.failed(v, err)
		return
	}
	c.log.Info("Term claimed.", "term", won.record.Term, "cause", v.cause, "before", s.Term, "primary", s.Primary,
		"suspected_for", decided.Sub(v.began).String(), "members", len(s.Members), "majority_of", s.Size)
	c.Metrics.claim(v.cause, outcomeWon)
	c.at(StepClaimed)
	gap := Gap{Group: c.Group, Term: won.record.Term, Cause: v.cause,
		Detect: decided.Sub(v.began), Claim: c.Clock.Now().Sub(decided)}
	if err := newAttempt(c, won, s).run(ctx, &gap); err != nil {
		c.log.Warn("Claimed term was left.", "term", won.record.Term, "error", err)
		c.Metrics.claim(v.cause, outcomeAbandoned)
		g.holdFor(g.backoff.next())
		return
	}
	c.Metrics.claim(v.cause, outcomeDone)
	g.backoff.reset()
	g.report(gap)
	if v.cause.planned() && gap.Primary == s.Primary {
		g.holdFor(c.Settings.SwitchPause)
	}
}

// witnessed asks instances of other failure domains.
func (g *guard) witnessed(ctx context.Context, s *group.Snapshot) bool {
	ctx, cancel := context.WithTimeout(ctx, g.c.Settings.Witness)
	defer cancel()
	answers := g.c.Witness.Ask(ctx, Question{Group: g.c.Group, Term: s.Term})
	ok := agreed(g.c.Self.FailureDomain, answers)
	if !ok {
		g.c.log.Info("Others reach the primary.", "term", s.Term, "answers", len(answers))
	}
	return ok
}

// failed decides when to try again after a claim that was not won.
func (g *guard) failed(v verdict, err error) {
	outcome := outcomeUnavailable
	switch {
	case errors.Is(err, ErrRivalClaim):
		outcome = outcomeRival
		g.hold = g.rival.until
	case errors.Is(err, ErrLostClaim):
		outcome = outcomeLost
		g.holdFor(g.c.Settings.MinBackoff)
	case errors.Is(err, errRecovered):
		outcome = outcomeRefused
		g.holdFor(g.c.Settings.MinBackoff)
	default:
		g.c.log.Warn("Claim failed.", "error", err)
		g.holdFor(g.backoff.next())
	}
	g.c.Metrics.claim(v.cause, outcome)
}

func (g *guard) holdFor(d time.Duration) { g.hold = g.c.Clock.Now().Add(d) }

func (g *guard) report(gap Gap) {
	g.c.Metrics.observe(gap)
	g.c.log.Info("Primary replaced.", "term", gap.Term, "member", gap.Primary, "cause", gap.Cause,
		"detect", gap.Detect.String(), "claim", gap.Claim.String(), "fence", gap.Fence.String(),
		"promote", gap.Promote.String(), "learn", gap.Learn.String())
	if g.c.OnFailover != nil {
		g.c.OnFailover(gap)
	}
}
