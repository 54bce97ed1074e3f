package platform

import (
	"context"
	"maps"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

// Call names a kind of call that the store counts.
type Call string

// Kinds of calls. A watch counts once however long it waits.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallPut       Call = "put"
	CallDelete    Call = "delete"
	CallWatch     Call = "watch"
	CallInventory Call = "inventory"
)

// Faults are the switches of the store.
type Faults struct {
	// Outage makes every call fail, a waiting watch too.
	Outage bool
	// Silent makes calls wait until their callers give up.
	Silent bool
	// DeafWatches makes watches hear nothing while objects change.
	DeafWatches bool
	// LateChanges is how many of the next Puts get no answer and take effect LateBy
	// later, if their condition still holds then.
	LateChanges int
	LateBy      time.Duration
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is how many of the next Puts take effect with no answer.
	LoseAnswers int
	// InventoryLag is how late the list of machines shows a change.
	InventoryLag time.Duration
}

// SetFaults replaces the switches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Faults returns the switches.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns how many calls of each kind have come.
func (s *Store) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// begin counts a call and applies the delay and the outage.
func (s *Store) begin(ctx context.Context, c Call) error {
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
	if s.Faults().Silent {
		<-ctx.Done()
		return platform.ErrUnavailable
	}
	if s.Faults().Outage {
		return platform.ErrUnavailable
	}
	return ctx.Err()
}
