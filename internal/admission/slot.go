package admission

import (
	"sync"
	"time"
)

// Slot is a slot in use. Whoever was admitted gives it back once.
type Slot struct {
	controller *Controller
	class      *class
	since      time.Time
	// answered says that the request has its answer. The slot may be held on, by the
	// transaction that the request has opened. Guarded by Controller.mu.
	answered bool
	// refused says that the member did no work for the request. Guarded by Controller.mu.
	refused bool
	release func()
}

func newSlot(c *Controller, k *class, now time.Time) *Slot {
	s := &Slot{controller: c, class: k, since: now}
	s.release = sync.OnceFunc(func() { c.release(s) })
	return s
}

// Answered notes that the member has answered the request. What is held on does no work
// at the member, so that another request may be sent.
func (s *Slot) Answered() { s.controller.answered(s) }

// Refused notes that the request was not sent, or that the member refused it without working on
// it. How long that took is no measure of the member: taken for one, the refusals of replicas
// that were behind made each usual answer look slow for minutes.
func (s *Slot) Refused() { s.controller.refused(s) }

// Release gives the slot back. A second call does nothing.
func (s *Slot) Release() { s.release() }

// remaining estimates how long the slot stays in use, by what an answer usually takes or,
// behind it, by how long transactions usually hold theirs. One that is held longer than
// usual is expected to stay as long again: were it expected to end now, requests would
// queue behind a stalled member up to the bound instead of being refused at once.
func (s *Slot) remaining(now time.Time) time.Duration {
	usual := s.class.service
	if s.answered {
		usual = s.class.held
	}
	held := now.Sub(s.since)
	if held < usual {
		return usual - held
	}
	return held - usual
}
