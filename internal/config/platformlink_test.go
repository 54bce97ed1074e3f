package config

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// platformLink is one instance's connection to the platform; a test can cut it.
type platformLink struct {
	platform.API
	mu         sync.Mutex
	linkCtx    context.Context
	cancelLink context.CancelFunc
	// onPut replaces the next Puts; forward executes the original Put.
	onPut func(forward func() (platform.Object, error)) (platform.Object, error)
	// onGet is called before the next Get.
	onGet func()
}

// loseRequest drops a Put before it reaches the platform.
func loseRequest(func() (platform.Object, error)) (platform.Object, error) {
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// loseAnswer executes a Put and drops its answer.
func loseAnswer(forward func() (platform.Object, error)) (platform.Object, error) {
	_, _ = forward()
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// interceptPuts replaces the next n Puts.
func (l *platformLink) interceptPuts(n int, f func(func() (platform.Object, error)) (platform.Object, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onPut = func(forward func() (platform.Object, error)) (platform.Object, error) {
		if n--; n < 0 {
			return forward()
		}
		return f(forward)
	}
}

// onNextGet registers f to be called before the next Get.
func (l *platformLink) onNextGet(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onGet = f
}

func newPlatformLink(api platform.API) *platformLink {
	l := &platformLink{API: api}
	l.reconnect()
	return l
}

func (l *platformLink) reconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linkCtx, l.cancelLink = context.WithCancel(context.Background())
}

func (l *platformLink) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelLink()
}

func (l *platformLink) requireConnected() (context.Context, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.linkCtx.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	return l.linkCtx, nil
}

func (l *platformLink) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	l.mu.Lock()
	onGet := l.onGet
	l.onGet = nil
	l.mu.Unlock()
	if onGet != nil {
		onGet()
	}
	if _, err := l.requireConnected(); err != nil {
		return platform.Object{}, err
	}
	return l.API.Get(ctx, k, name)
}

func (l *platformLink) List(ctx context.Context, k platform.Kind) ([]platform.Object, platform.Revision, error) {
	if _, err := l.requireConnected(); err != nil {
		return nil, 0, err
	}
	return l.API.List(ctx, k)
}

func (l *platformLink) Put(ctx context.Context, k platform.Kind, name string, value []byte, v platform.Revision) (platform.Object, error) {
	if _, err := l.requireConnected(); err != nil {
		return platform.Object{}, err
	}
	l.mu.Lock()
	onPut := l.onPut
	l.mu.Unlock()
	if onPut != nil {
		return onPut(func() (platform.Object, error) { return l.API.Put(context.WithoutCancel(ctx), k, name, value, v) })
	}
	return l.API.Put(ctx, k, name, value, v)
}

func (l *platformLink) Watch(ctx context.Context, k platform.Kind, after platform.Revision) ([]platform.Object, platform.Revision, error) {
	linkCtx, err := l.requireConnected()
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(linkCtx, cancel)()
	return l.API.Watch(ctx, k, after)
}

func (l *platformLink) Inventory(ctx context.Context) (platform.Inventory, error) {
	if _, err := l.requireConnected(); err != nil {
		return platform.Inventory{}, err
	}
	return l.API.Inventory(ctx)
}
