package config

import (
	"context"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// settleInterval is the time between two attempts to settle the open changes.
	settleInterval = 2 * time.Second
	// maxPending bounds the open changes; past it the oldest is given up.
	maxPending = 64
	// maxSettled bounds the outcomes that are remembered.
	maxSettled = 256
)

// pending is a change whose outcome is open after its operator was answered.
type pendingChange struct {
	applyAttempt
}

// queuePending keeps a change for the background.
func (s *Store) queuePending(a *applyAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, &pendingChange{applyAttempt: *a})
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
}

// Settled returns the outcome of a change that was left settling; false while
// it is open or no longer remembered.
func (s *Store) Settled(changeID string) (Outcome, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.settledOutcomes[changeID]
	return o, ok
}

// settleLoop settles open changes until ctx ends.
func (s *Store) settleLoop(ctx context.Context) {
	for clock.Sleep(ctx, s.options.Clock, s.jittered(settleInterval)) == nil {
		s.mu.RLock()
		open := slices.Clone(s.pending)
		s.mu.RUnlock()
		for _, p := range open {
			if outcome, done := s.settleChange(ctx, p); done {
				s.recordSettled(p, outcome)
			}
		}
	}
}

// settle tries once to prove a change's outcome. The operator has been
// answered, so the change is no longer sent. While the document stands as it
// was, the update may still be on its way; storing the document once more as
// it stands moves the object's version, after which the update cannot take
// effect.
func (s *Store) settleChange(ctx context.Context, p *pendingChange) (Outcome, bool) {
	b, err := s.readBase(ctx, p.name)
	if err != nil {
		return Outcome{}, false
	}
	if outcome, settled := s.resolveOutcome(&p.applyAttempt, b); settled {
		return outcome, true
	}
	if b.Version != p.ifVersion {
		return Outcome{State: Settling, Detail: "the document's history does not reach back to the change"}, true
	}
	if b.objectVersion == p.sentAtVersion && s.putEnvelope(ctx, p.name, b.Envelope, b.objectVersion) != nil {
		return Outcome{}, false
	}
	return Outcome{State: NoEffect, Version: b.Version, By: b.By}, true
}

// conclude records the outcome of a change that was open.
func (s *Store) recordSettled(p *pendingChange, o Outcome) {
	o.ChangeID = p.change.ID
	s.mu.Lock()
	s.pending = slices.DeleteFunc(s.pending, func(q *pendingChange) bool { return q == p })
	if len(s.settledOutcomes) >= maxSettled {
		clear(s.settledOutcomes)
	}
	s.settledOutcomes[o.ChangeID] = o
	s.mu.Unlock()
	s.metrics.settled.WithLabelValues(string(o.State)).Inc()
	s.log.Info("Change settled.", "service", p.name, "change", o.ChangeID, "outcome", o.State, "version", o.Version)
}
