package executor

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// confirmGrace is how long a confirmation is still waited for after units were cut off: many times
// a usual confirmation, and less than the time that sessions have for a final reply.
const confirmGrace = 150 * time.Millisecond

// confirmContext returns the context in which a unit's confirmation is waited for. It ends at the
// unit's deadline, but only confirmGrace after ctx was cancelled: the write has committed, and its
// caller would otherwise be told that the outcome is unknown a moment before it is known.
func (g *Group) confirmContext(ctx context.Context, p plan) (context.Context, context.CancelFunc) {
	confirmCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), g.confirmDeadline(ctx, p))
	stop := context.AfterFunc(ctx, func() {
		_ = clock.Sleep(confirmCtx, g.Clock, confirmGrace)
		cancel()
	})
	return confirmCtx, func() {
		stop()
		cancel()
	}
}
