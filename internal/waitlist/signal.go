package waitlist

import (
	"context"
	"sync"
)

// Signal lets goroutines wait for a condition on state that a mutex guards. All methods
// except Wait require that mutex to be held.
type Signal struct {
	changed chan struct{}
}

// NewSignal returns a Signal without waiting goroutines.
func NewSignal() *Signal { return &Signal{changed: make(chan struct{})} }

// Notify wakes all waiting goroutines, which then check their conditions again.
func (s *Signal) Notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Wait returns nil once done returns true. It calls done with mu held, once at the start and
// after each Notify. If ctx ends first, Wait returns the error of ctx.
func (s *Signal) Wait(ctx context.Context, mu *sync.Mutex, done func() bool) error {
	for {
		mu.Lock()
		ok, changed := done(), s.changed
		mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
