package config

import (
	"context"
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
)

const (
	// settleInterval is the time between two attempts to settle the pending
	// changes.
	settleInterval = 2 * time.Second
	// maxPending limits the pending changes. When it is exceeded, the oldest is
	// dropped.
	maxPending = 64
	// maxSettled limits the outcomes that are kept. When it is reached, all of
	// them are discarded.
	maxSettled = 256
)

// pendingChange is a change whose outcome was still unknown when its operator
// was answered.
type pendingChange struct {
	applyAttempt
}

// queuePending adds a change to those that are settled in the background.
func (s *Store) queuePending(a *applyAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, &pendingChange{applyAttempt: *a})
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
}

// SettledOutcome returns the outcome of a change whose state was Settling. The
// result is false while the outcome is unknown, and after it has been
// discarded.
func (s *Store) SettledOutcome(changeID string) (Outcome, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.settledOutcomes[changeID]
	return o, ok
}

// settleLoop settles pending changes until ctx ends.
func (s *Store) settleLoop(ctx context.Context) {
	for clock.Sleep(ctx, s.options.Clock, s.jittered(settleInterval)) == nil {
		s.mu.RLock()
		unsettled := slices.Clone(s.pending)
		s.mu.RUnlock()
		for _, p := range unsettled {
			if outcome, done := s.settleChange(ctx, p); done {
				s.recordSettled(p, outcome)
			}
		}
	}
}

// settleChange tries once to determine a change's outcome. The operator has
// already been answered, so the change is not sent again. While the document is
// unchanged, the original update may still be in transit. Storing the unchanged
// document again increases the object's version, after which that update can no
// longer take effect.
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
	if b.objectVersion.Era() != p.sentAtVersion.Era() && b.objectVersion.Number() <= p.sentAtVersion.Number() {
		// The platform's store returned from a copy and may still reach the number that the original
		// update requires. Whether the document is past it shows at the next attempt.
		_ = s.putEnvelope(ctx, p.name, b.Envelope, b.objectVersion)
		return Outcome{}, false
	}
	if b.objectVersion == p.sentAtVersion && s.putEnvelope(ctx, p.name, b.Envelope, b.objectVersion) != nil {
		return Outcome{}, false
	}
	return Outcome{State: NoEffect, Version: b.Version, By: b.By}, true
}

// recordSettled records the outcome of a pending change.
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
