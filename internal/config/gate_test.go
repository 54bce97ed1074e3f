package config

import (
	"context"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
)

// gate is one instance's way to the platform; it can be cut.
type gate struct {
	platform.API
	mu   sync.Mutex
	open context.Context
	shut context.CancelFunc
	// onPut replaces the next Puts; forward does what Put would have done.
	onPut func(forward func() (platform.Object, error)) (platform.Object, error)
	// onGet runs before the next Get.
	onGet func()
}

// lostBefore loses a Put on its way to the platform.
func lostBefore(func() (platform.Object, error)) (platform.Object, error) {
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// lostAfter loses the answer to a Put that took effect.
func lostAfter(forward func() (platform.Object, error)) (platform.Object, error) {
	_, _ = forward()
	return platform.Object{}, platform.ErrOutcomeUnknown
}

// intercept replaces the next n Puts.
func (g *gate) intercept(n int, f func(func() (platform.Object, error)) (platform.Object, error)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onPut = func(forward func() (platform.Object, error)) (platform.Object, error) {
		if n--; n < 0 {
			return forward()
		}
		return f(forward)
	}
}

// beforeGet runs f before the next Get.
func (g *gate) beforeGet(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onGet = f
}

func newGate(api platform.API) *gate {
	g := &gate{API: api}
	g.heal()
	return g
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open, g.shut = context.WithCancel(context.Background())
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut()
}

func (g *gate) enter() (context.Context, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open.Err() != nil {
		return nil, platform.ErrUnavailable
	}
	return g.open, nil
}

func (g *gate) Get(ctx context.Context, k platform.Kind, name string) (platform.Object, error) {
	g.mu.Lock()
	onGet := g.onGet
	g.onGet = nil
	g.mu.Unlock()
	if onGet != nil {
		onGet()
	}
	if _, err := g.enter(); err != nil {
		return platform.Object{}, err
	}
	return g.API.Get(ctx, k, name)
}

func (g *gate) List(ctx context.Context, k platform.Kind) ([]platform.Object, int64, error) {
	if _, err := g.enter(); err != nil {
		return nil, 0, err
	}
	return g.API.List(ctx, k)
}

func (g *gate) Put(ctx context.Context, k platform.Kind, name string, value []byte, v int64) (platform.Object, error) {
	if _, err := g.enter(); err != nil {
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

func (g *gate) Watch(ctx context.Context, k platform.Kind, after int64) ([]platform.Object, int64, error) {
	open, err := g.enter()
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(open, cancel)()
	return g.API.Watch(ctx, k, after)
}

func (g *gate) Inventory(ctx context.Context) (platform.Inventory, error) {
	if _, err := g.enter(); err != nil {
		return platform.Inventory{}, err
	}
	return g.API.Inventory(ctx)
}
