package instance

import (
	"context"
	"time"
)

const (
	// reachInterval is the time between two reachability checks, and hintedReachInterval
	// the time between them while a hint is valid.
	reachInterval       = 100 * time.Millisecond
	hintedReachInterval = 20 * time.Millisecond
)

// dismisser is implemented by a CallerServer that can disconnect idle callers, so that they
// reconnect to other instances.
type dismisser interface{ DisconnectIdle() }

// sleepOrWake waits for d or until it is woken, and reports whether it was woken. It
// returns an error when ctx ends.
func (n *Instance) sleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) (woken bool, err error) {
	t := n.options.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-wake:
		return true, nil
	case <-t.C:
		return false, nil
	}
}

// watchReach checks reachability, sets and clears cutOff, and disconnects idle callers of an
// instance that is cut off. It returns when ctx ends.
func (n *Instance) watchReach(ctx context.Context) {
	var detector reachDetector
	var peers peerReach
	n.running.Go(func() { n.pollPeerReach(ctx, &peers) })
	interval := reachInterval
	for {
		hinted, err := n.sleepOrWake(ctx, interval, n.wakeReach)
		if err != nil {
			return
		}
		now := n.options.Clock.Now()
		if hinted {
			detector.hint(now)
		}
		interval = reachInterval
		if detector.hintActive(now) {
			interval = hintedReachInterval
		}
		sum := n.ownReach().plus(peers.get())
		switch detector.update(now, sum.Groups, sum.Reached) {
		case reachLost:
			n.cutOff.Store(true)
			n.options.Logger.Warn("Instance is cut off from most groups.", "groups", sum.Groups, "reached", sum.Reached)
		case reachRestored:
			n.cutOff.Store(false)
			n.options.Logger.Info("Instance reaches most groups again.", "groups", sum.Groups, "reached", sum.Reached)
		case reachDismissCallers:
			if d, ok := n.callers.(dismisser); ok {
				d.DisconnectIdle()
				n.options.Logger.Info("Instance disconnects idle callers so that they reconnect elsewhere.")
			}
		}
	}
}
