package objectwatch

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// sharedAPI is the platform as one Follower of a kind sees it.
type sharedAPI struct {
	platform.API
	sharing *Sharing
	kind    platform.Kind
	feed    *feed
}

// List implements platform.API.
func (a *sharedAPI) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	for _, reader := range a.sharing.readers() {
		if got, ok := a.ask(ctx, reader, methodList, question{Kind: kind}, listTimeout); ok {
			return got.Objects, got.Revision, nil
		}
	}
	objects, revision, err := a.API.List(ctx, kind)
	if err != nil {
		a.feed.lost()
		return nil, 0, err
	}
	a.feed.listed(objects, revision)
	return objects, revision, nil
}

// Watch implements platform.API.
func (a *sharedAPI) Watch(ctx context.Context, kind platform.Kind, after int64) ([]platform.Object, int64, error) {
	for _, reader := range a.sharing.readers() {
		got, ok := a.ask(ctx, reader, methodAfter, question{Kind: kind, After: after}, afterWait+afterGrace)
		switch {
		case ok && got.Compacted:
			return nil, after, platform.ErrCompacted
		case ok:
			return got.Objects, max(after, got.Revision), nil
		}
	}
	objects, next, err := a.API.Watch(ctx, kind, after)
	if err != nil {
		a.feed.lost()
		return nil, after, err
	}
	a.feed.watched(objects, after, next)
	return objects, next, nil
}

// ask asks a reader.
func (a *sharedAPI) ask(ctx context.Context, reader platform.Instance, method string, q question, timeout time.Duration) (answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var got answer
	err := a.sharing.caller.Call(ctx, reader.PeerAddress, method, q, &got)
	return got, err == nil
}
