package objectwatch

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// checkBackoffFactor is the factor by which the pause after an unanswered check grows, from minBackoff up
// to CheckInterval. A platform that is away is asked about as often as one that answers.
const checkBackoffFactor = 4

// runChecks lists the objects at CheckInterval, counted from one request to the next: the request time of
// an answered check bounds what may be unknown. A check that was not answered proves nothing and is
// repeated soon, since the watch may be silent for the same reason.
func (f *Follower) runChecks(ctx context.Context) {
	pause, backoff := f.CheckInterval, time.Duration(0)
	for clock.Sleep(ctx, f.Clock, pause) == nil {
		requestedAt := f.Clock.Now()
		if err := f.check(ctx); err != nil {
			f.recordFailedCheck(ctx, requestedAt, err)
			backoff = min(max(checkBackoffFactor*backoff, minBackoff), f.CheckInterval)
			pause = backoff
			continue
		}
		f.recordCheck(requestedAt)
		backoff = 0
		pause = max(minBackoff, f.CheckInterval-f.Clock.Now().Sub(requestedAt))
	}
}

// check gets the changes from peers or lists the objects.
func (f *Follower) check(ctx context.Context) error {
	if f.applyPeerChanges(ctx) {
		return nil
	}
	objects, revision, err := f.listForCheck(ctx)
	if err != nil {
		return err
	}
	f.markReachable()
	f.deliverList(objects, revision, OriginCheck)
	return nil
}

// recordCheck records a check that was answered. Its request time is logged if checks before it failed.
func (f *Follower) recordCheck(requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedChecks > 0 {
		f.Log.Info("Checks are answered again.", "failed", f.failedChecks, "since_last", requestedAt.Sub(f.checkedAt).String(), "took", f.Clock.Now().Sub(requestedAt).String())
	}
	f.failedChecks, f.checkedAt = 0, requestedAt
	f.Metrics.setChecked(f.Kind, requestedAt)
}

// recordFailedCheck counts a check that failed, and logs the first one in a row.
func (f *Follower) recordFailedCheck(ctx context.Context, requestedAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedChecks++
	f.Metrics.failedChecks.WithLabelValues(string(f.Kind)).Inc()
	level := hclog.Debug
	if f.failedChecks == 1 {
		level = hclog.Warn
	}
	now := f.Clock.Now()
	f.Log.Log(level, "A check was not answered; a change may be unknown.", "failed", f.failedChecks, "since_last", now.Sub(f.checkedAt).String(), "took", now.Sub(requestedAt).String(), "error", err)
}

// applyPeerChanges delivers the changes that peers know of and the watch may have missed, and
// reports whether a peer responded. If each of a hundred followers listed all objects instead,
// the lists would saturate the links of the readers, whose responses would then be late for all
// followers.
func (f *Follower) applyPeerChanges(ctx context.Context) bool {
	if f.Peers == nil {
		return false
	}
	objects, revision, err := f.Peers.ChangesSince(ctx, f.deliveredRevision())
	if err != nil {
		f.Log.Debug("No peer returned recent changes.", "error", err)
		return false
	}
	f.deliverChanges(objects, revision, OriginPeer)
	return true
}

// listForCheck lists the objects for runChecks.
func (f *Follower) listForCheck(ctx context.Context) ([]platform.Object, platform.Revision, error) {
	if f.AllowStaleLists {
		return f.API.ListStale(ctx, f.Kind)
	}
	return f.API.List(ctx, f.Kind)
}
