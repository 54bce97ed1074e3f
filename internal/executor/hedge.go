package executor

import (
	"context"
	"strconv"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/retry"
)

// hedgeDivisor determines when a read is also sent to a second replica: after the read's objective
// divided by hedgeDivisor. A third of the objective leaves the second one time for a complete
// answer.
const hedgeDivisor = 3

// readAttempt is the result of one attempt of a read.
type readAttempt struct {
	member   string
	reply    *execution.Reply
	streamed bool
	err      error
}

// canHedge reports whether a read may be sent to a second replica while the first one is running
// it. The read must have an objective and must not open a transaction, and its answer must be
// buffered as a whole.
func (g *Group) canHedge(u *execution.Unit, p plan) bool {
	return g.Wire.BuffersResponses && u.ReadOnly && !u.BeginsTransaction && p.objective > 0
}

// readWithHedge runs a read at a replica, and at a second one if the first has not answered after
// a part of the objective. The first successful answer is used; the other attempt is left to
// finish, so that its connection can be reused. Hedges spend the retry budget, so that the load of
// a group that is slow as a whole is not doubled.
func (g *Group) readWithHedge(ctx context.Context, u *execution.Unit, p plan, m group.MemberView, req readRequirement, exclude map[string]bool, partial func([]byte) error) readAttempt {
	results := make(chan readAttempt, 2)
	launch := func(m group.MemberView, number int) {
		// Each attempt gets its own copy of the unit, because an attempt may set the unit's token.
		attemptUnit := *u
		if number > 1 {
			attemptUnit.ID += "+" + strconv.Itoa(number)
		}
		go func() {
			reply, streamed, err := g.runReadAtMember(ctx, &attemptUnit, p, m, req, partial)
			results <- readAttempt{m.Address, reply, streamed, err}
		}()
	}
	launch(m, 1)
	timer := g.Clock.NewTimer(p.objective / hedgeDivisor)
	defer timer.Stop()
	select {
	case first := <-results:
		return first
	case <-timer.C:
	}
	exclude[m.Address] = true
	second, ok := g.pickReadMember(u.ConnectionOwner, req, exclude)
	if !ok || !g.takeHedgeAttempt(ctx) {
		return <-results
	}
	g.Logger.Info("Hedging read at a second member.", "request", u.RequestName, "unit", u.ID, "group", g.Group, "member", m.Address, "second", second.Address, "after", (p.objective / hedgeDivisor).String())
	launch(second, 2)
	first := <-results
	if first.err == nil {
		return first
	}
	exclude[first.member] = true
	return <-results
}

// takeHedgeAttempt takes one attempt from the retry budget and reports whether the budget allowed
// it.
func (g *Group) takeHedgeAttempt(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = g.Clock.Now().Add(time.Second)
	}
	_, refusal := g.Budget.ReserveRetry(retry.Attempt{Number: 1, Reason: retry.Slow, Deadline: deadline})
	return refusal == nil
}
