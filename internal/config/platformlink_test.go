package config

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// platformLink is one instance's connection to the platform; a test can cut it.
type platformLink struct {
	platform.API
	mu              sync.Mutex
	connected       context.Context
	cancelConnected context.CancelFunc
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
func (g *platformLink) interceptPuts(n int, f func(func() (platform.Object, error)) (platform.Object, error)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPut = func(forward func() (platform.Object, error)) (platform.Object, error) {
		if n--; n < 0 {
			return forward()
		}
		return f(forward)
	}
}

// onNextGet registers f to be called before the next Get.
func (g *platformLink) onNextGet(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onGet = f
}

func newPlatformLink(api platform.API) *platformLink {
	g := &platformLink{API: api}
	g.reconnect()
	return g
}

func (g *platformLink) reconnect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connected, g.cancelConnected = context.WithCancel(context.Background())
}

func (g *platformLink) disconnect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelConnected()
}

func (g *platformLink) requireConnected() (context.Context, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.connected.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	return g.connected, nil
}

func (g *platformLink) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	g.mu.Lock()
	onGet := g.onGet
	g.onGet = nil
	g.mu.Unlock()
	if onGet != nil {
		onGet()
	}
	if _, err := g.requireConnected(); err != nil {
		return platform.Object{}, err
	}
	return g.API.Get(ctx, k, name)
}

func (g *platformLink) List(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	if _, err := g.requireConnected(); err != nil {
		return nil, 0, err
	}
	return g.API.List(ctx, k)
}

func (g *platformLink) Put(ctx context.Context, k platform.Kind, name string, value []byte, v int64) (platform.Object, error) {
	if _, err := g.requireConnected(); err != nil {
		return platform.Object{}, err
	}
	g.mu.Lock()
	onPut := g.onPut
	g.mu.Unlock()
	if onPut != nil {
		return onPut(func() (platform.Object, error) { return g.API.Put(context.WithoutCancel(ctx), k, name, value, v) })
	}
	return g.API.Put(ctx, k, name, value, v)
}

func (g *platformLink) Watch(ctx context.Context, k platform.Kind, after int64) ([]platform.Object, int64, error) {
	open, err := g.requireConnected()
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(open, cancel)()
	return g.API.Watch(ctx, k, after)
}

func (g *platformLink) Inventory(ctx context.Context) (platform.Inventory, error) {
	if _, err := g.requireConnected(); err != nil {
		return platform.Inventory{}, err
	}
	return g.API.Inventory(ctx)
}
