package quota

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// ask asks a limiter and keeps in mind whether it answers.
func (g *Guard) ask(ctx context.Context, l platform.Instance, r request, limit time.Duration) (response, error) {
	var answer response
	asked := g.Clock.Now()
	if l.ID == g.Fleet.Self().ID {
		answer = g.limiter.serve(r, g.Clock.Now())
	} else {
		bounded, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if err := g.Caller.Call(bounded, l.PeerAddress, methodServe, r, &answer); err != nil {
			g.noteUnreached(ctx, l, err)
			return response{}, err
		}
	}
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.heard(l.ID, answer, asked, now)
	delete(g.unreached, l.ID)
	return answer, nil
}

// noteUnreached has a limiter that did not answer passed by for a while.
func (g *Guard) noteUnreached(ctx context.Context, l platform.Instance, err error) {
	if ctx.Err() != nil {
		return
	}
	g.Metrics.unreached.Inc()
	g.Logger.Debug("Limiter did not answer.", "limiter", l.ID, "error", err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreached[l.ID] = g.Clock.Now().Add(unreachedFor)
}
