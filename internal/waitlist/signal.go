package waitlist

import (
	"context"
	"sync"
)

// Signal lets goroutines wait for a condition on state that a mutex guards. Its
// methods but Wait are called with that mutex held.
type Signal struct {
	changed chan struct{}
}

// NewSignal returns a Signal that nobody waits on.
func NewSignal() *Signal { return &Signal{changed: make(chan struct{})} }

// Notify wakes those who wait, so that they look at the condition again.
func (s *Signal) Notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Wait takes mu for each look and returns nil once done, which is called with mu
// held, returns true. It returns the error of ctx if that ends first.
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
