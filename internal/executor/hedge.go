package executor

import (
	"context"
	"strconv"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/retry"
)

// hedgePart is the part of a read's objective after which another replica is asked as
// well: one in three leaves the second one time for a whole answer.
const hedgePart = 3

// outcome is what one attempt of a read came to.
type outcome struct {
	member   string
	reply    *execution.Reply
	streamed bool
	err      error
}

// hedgeable reports whether a second replica may be asked while the first is at work:
// the read must stand alone, and its answer must be held whole.
func (g *Group) hedgeable(u *execution.Unit, p plan) bool {
	return g.Wire.HoldsAnswers && u.ReadOnly && !u.Begins && p.objective > 0
}

// hedged runs a read at a replica, and at a second one if the first has not answered
// when a part of the objective has passed. The first good answer counts; the other
// attempt is left to end by itself, its connection to be used again. Hedges spend the
// retry budget, so that a group that is slow as a whole is not asked twice as much.
func (g *Group) hedged(ctx context.Context, u *execution.Unit, p plan, m group.MemberView, n need, exclude map[string]bool, partial func([]byte) error) outcome {
	results := make(chan outcome, 2)
	launch := func(m group.MemberView, number int) {
		// Each attempt has a unit of its own: it sets what it learns there.
		copied := *u
		if number > 1 {
			copied.ID += "+" + strconv.Itoa(number)
		}
		go func() {
			reply, streamed, err := g.atReplica(ctx, &copied, p, m, n, partial)
			results <- outcome{m.Address, reply, streamed, err}
		}()
	}
	launch(m, 1)
	timer := g.Clock.NewTimer(p.objective / hedgePart)
	defer timer.Stop()
	select {
	case first := <-results:
		return first
	case <-timer.C:
	}
	exclude[m.Address] = true
	second, ok := g.pickReplica(u.Owner, n, exclude)
	if !ok || !g.mayHedge(ctx) {
		return <-results
	}
	g.Logger.Info("Read is sent to a second member as well.", "request", u.Request, "unit", u.ID, "group", g.Group, "member", m.Address, "second", second.Address, "after", (p.objective / hedgePart).String())
	launch(second, 2)
	first := <-results
	if first.err == nil {
		return first
	}
	exclude[first.member] = true
	return <-results
}

// mayHedge takes one attempt from the retry budget.
func (g *Group) mayHedge(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = g.Clock.Now().Add(time.Second)
	}
	_, refusal := g.Budget.Next(retry.Attempt{Number: 1, Reason: retry.Slow, Deadline: deadline})
	return refusal == nil
}
