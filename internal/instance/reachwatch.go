package instance

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

// reachInterval is how often the instance looks at what it reaches.
const reachInterval = 100 * time.Millisecond

// dismisser is a side of callers that can send idle ones elsewhere.
type dismisser interface{ Dismiss() }

// watchReach keeps the instance's verdict on whether it is cut off, until ctx ends.
func (n *Instance) watchReach(ctx context.Context) {
	var r reach
	var peers peersReach
	n.running.Go(func() { n.askReach(ctx, &peers) })
	for clock.Sleep(ctx, n.options.Clock, reachInterval) == nil {
		sum := n.ownReach().plus(peers.get())
		switch r.note(n.options.Clock.Now(), sum.Groups, sum.Reached) {
		case reachLost:
			n.cutOff.Store(true)
			n.options.Logger.Warn("Instance is cut off from most groups.", "groups", sum.Groups, "reached", sum.Reached)
		case reachBack:
			n.cutOff.Store(false)
			n.options.Logger.Info("Instance reaches most groups again.", "groups", sum.Groups, "reached", sum.Reached)
		case reachDismiss:
			if d, ok := n.callers.(dismisser); ok {
				d.Dismiss()
				n.options.Logger.Info("Idle callers are sent elsewhere.")
			}
		}
	}
}
