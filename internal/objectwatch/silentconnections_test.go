package objectwatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// silencedAPI is an API whose calls time out if they were waiting at a moment, and whose next list after
// that moment times out as well. Later calls are answered.
type silencedAPI struct {
	platform.API
	at       time.Time
	timeout  time.Duration
	consumed bool
}

// List implements platform.API.
func (a *silencedAPI) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Revision, error) {
	if !a.consumed && time.Now().After(a.at) {
		a.consumed = true
		time.Sleep(a.timeout)
		return nil, 0, platform.ErrUnavailable
	}
	return a.API.List(ctx, kind)
}

// Watch implements platform.API.
func (a *silencedAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	objects, revision, err := a.API.Watch(ctx, kind, after)
	if time.Now().After(a.at) {
		<-ctx.Done()
		return nil, after, platform.ErrUnavailable
	}
	return objects, revision, err
}

// Guards against a change that stays unknown for two check intervals because one check was not answered.
func TestUnansweredCheckDoesNotDelayAChangeByAnotherInterval(t *testing.T) {
	const (
		interval = 2 * time.Second
		timeout  = 400 * time.Millisecond
		bound    = 3 * time.Second
	)
	for phase := time.Duration(0); phase < interval; phase += 100 * time.Millisecond {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := standin.NewStore()
				api := &silencedAPI{API: store, at: time.Now().Add(10*time.Second + phase), timeout: timeout}
				sink := &recordingSink{values: make(map[string]string)}
				stop := startFollower(api, sink, interval)
				defer stop()
				time.Sleep(time.Until(api.at) + time.Millisecond)
				put(is, store, "a", "1")
				time.Sleep(bound)
				synctest.Wait()
				is.Equal(sink.values["a"], "1")
			})
		})
	}
}
