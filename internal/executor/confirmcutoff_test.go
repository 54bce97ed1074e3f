package executor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/wire"
)

// slowTracker is a tracker that confirms a commit after a delay.
type slowTracker struct {
	group.Tracker
	delay time.Duration
}

// ConfirmCommit implements group.Tracker.
func (t slowTracker) ConfirmCommit(ctx context.Context, _ logpos.TermPosition) error {
	return clock.Sleep(ctx, clock.System{}, t.delay)
}

// confirmAfter waits for a confirmation that takes delay, and returns how long it waited.
func confirmAfter(ctx context.Context, delay time.Duration) (time.Duration, error) {
	g := &Group{Config: Config{Tracker: slowTracker{delay: delay}, Clock: clock.System{}}}
	began := time.Now()
	committed := &exchange{Exchange: wire.Exchange{Outcome: wire.Outcome{LogPosition: logpos.TermPosition{Term: 1, Position: 1}}}}
	_, err := g.confirm(ctx, plan{limits: document.Limits{ConfirmTimeout: time.Second}}, committed)
	return time.Since(began), err
}

// Guards against an unknown outcome for a write that has committed when units are cut off, and is
// confirmed a moment later, within the time for a final reply.
func TestCommittedWriteIsConfirmedAcrossTheCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cutOff := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, cutOff)
		took, err := confirmAfter(ctx, 20*time.Millisecond)
		is.NoErr(err)
		is.Equal(took, 20*time.Millisecond)
	})
}

// Guards against a confirmation that is still waited for when the caller's connection is closed
// after the cut-off, or when the caller's own time is over.
func TestWaitForAConfirmationEndsSoonAfterTheCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cutOff := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, cutOff)
		took, err := confirmAfter(ctx, time.Second)
		is.True(err != nil)
		is.True(took < 200*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		took, err = confirmAfter(ctx, time.Second)
		is.True(err != nil)
		is.Equal(took, 50*time.Millisecond)
	})
}
