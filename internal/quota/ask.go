package quota

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// askLimiter sends a request to a limiter and records whether it answers.
func (g *Guard) askLimiter(ctx context.Context, l platform.Instance, r request, timeout time.Duration) (response, error) {
	var answer response
	sentAt := g.Clock.Now()
	if l.ID == g.Fleet.Self().ID {
		answer = g.limiter.handleRequest(r, g.Clock.Now())
	} else {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := g.Caller.Call(bounded, l.PeerAddress, methodServe, r, &answer); err != nil {
			g.markUnreachable(ctx, l, err)
			return response{}, err
		}
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delegator.recordResponse(l.ID, answer, sentAt, now)
	delete(g.unreachableUntil, l.ID)
	return answer, nil
}

// markUnreachable records that a limiter did not answer, so that it gets no requests for the
// next unreachableFor.
func (g *Guard) markUnreachable(ctx context.Context, l platform.Instance, err error) {
	if ctx.Err() != nil {
		return
	}
	g.Metrics.unanswered.Inc()
	g.Logger.Debug("Limiter did not answer.", "limiter", l.ID, "error", err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachableUntil[l.ID] = g.Clock.Now().Add(unreachableFor)
}
