package platform

import (
	"context"
	"maps"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// Call is a kind of API call that the store counts.
type Call string

// Kinds of API calls. A watch counts once, regardless of how long it waits.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallPut       Call = "put"
	CallDelete    Call = "delete"
	CallWatch     Call = "watch"
	CallInventory Call = "inventory"
)

// Faults configures fault injection in the store.
type Faults struct {
	// Outage makes every call fail, including watches that are already waiting.
	Outage bool
	// Unresponsive makes new calls block until their context ends.
	Unresponsive bool
	// SuppressWatchEvents makes watches report no changes.
	SuppressWatchEvents bool
	// DelayedPuts is the number of upcoming Puts that return ErrOutcomeUnknown at once
	// and are applied PutDelay later, if their version condition still holds then.
	DelayedPuts int
	PutDelay    time.Duration
	// Delay is the latency added to every call.
	Delay time.Duration
	// LoseResponses is the number of upcoming Puts that are applied but return ErrOutcomeUnknown.
	LoseResponses int
	// InventoryLag is the delay before a change of the inventory becomes visible.
	InventoryLag time.Duration
}

// SetFaults replaces the injected faults and wakes waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Faults returns the faults that are currently injected.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls received so far, by kind.
func (s *Store) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// beginCall counts a call and applies the Delay, Unresponsive and Outage faults.
func (s *Store) beginCall(ctx context.Context, c Call) error {
	s.mu.Lock()
	s.calls[c]++
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if s.Faults().Unresponsive {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	if s.Faults().Outage {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}
