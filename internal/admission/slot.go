package admission

import (
	"sync"
	"time"
)

// Slot is a granted slot. The request that holds it must call Release.
type Slot struct {
	controller *Controller
	class      *class
	admittedAt time.Time
	// answered is set once the request has its answer. The slot may stay in use after that,
	// by the transaction that the request opened. Guarded by Controller.mu.
	answered bool
	// notExecuted is set if the member did no work for the request, or gave no answer. Guarded
	// by Controller.mu.
	notExecuted bool
	// share is the account that was charged with cost; nil outside the fair order.
	share       *share
	cost        time.Duration
	releaseOnce func()
}

func newSlot(c *Controller, state *class, now time.Time) *Slot {
	s := &Slot{controller: c, class: state, admittedAt: now}
	s.releaseOnce = sync.OnceFunc(func() { c.releaseSlot(s) })
	return s
}

// MarkAnswered records that the member has answered the request. A slot kept after its answer
// causes no work at the member, so another request may be sent.
func (s *Slot) MarkAnswered() { s.controller.markAnswered(s) }

// MarkNotExecuted records that the request was not sent, or that the member refused it without
// executing it. Its duration is not a service time: when refusals by lagging replicas
// were counted as answers, each ordinary answer looked slow for minutes.
func (s *Slot) MarkNotExecuted() { s.controller.markRefused(s) }

// MarkUnanswered records that no answer came in time. The duration is that of a timeout: as a
// service time it would have admission refuse requests that the member serves.
func (s *Slot) MarkUnanswered() { s.controller.markRefused(s) }

// Release frees the slot. Later calls have no effect.
func (s *Slot) Release() { s.releaseOnce() }

// remaining estimates how long the slot stays in use, from the average service time or,
// after the answer, the average hold time of transactions. Once a slot has been in
// use for longer than the average, it is assumed to need as much time again as it has
// exceeded the average by. If its release were assumed to be imminent, requests would fill
// the queue of a stalled member instead of being refused immediately.
func (s *Slot) remaining(now time.Time) time.Duration {
	average := s.class.serviceTime
	if s.answered {
		average = s.class.holdTime
	}
	elapsed := now.Sub(s.admittedAt)
	if elapsed < average {
		return average - elapsed
	}
	return elapsed - average
}

// refundUnused takes back the charge of a slot at which the member did no work.
func (s *Slot) refundUnused() {
	if s.notExecuted && s.share != nil {
		s.share.refund(s.cost)
	}
}
