package admission

import "time"

// Outlook is what a request that arrives now may expect of a gate.
type Outlook struct {
	// Free is how many requests would be admitted at once.
	Free int
	// Wait is the expected time until the request gets a slot; zero if Free is not.
	Wait time.Duration
	// Step is how much each further request of the class lengthens the wait once Free is used.
	Step time.Duration
}

// Outlook returns what a request of any workspace may expect, without admitting it: the accounts of the
// fair order are left out, because the answer is used for the requests of all workspaces. It reports false
// if no request is admitted.
func (c *Controller) Outlook(r Request) (Outlook, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.slots == 0 {
		return Outlook{}, false
	}
	state := c.classState(r.Class)
	o := Outlook{Step: state.serviceTime / time.Duration(c.parallelism())}
	if c.queue.Len() == 0 && c.canAdmit() {
		o.Free = min(c.slots-len(c.inUse), c.concurrency.current()-c.inFlight)
		return o, true
	}
	now := c.cfg.Clock.Now()
	w := &waiter{request: r, class: state, arrivedAt: now, sequence: c.arrivalCount + 1}
	w.late = w.missesObjective(now)
	o.Wait = c.timeToFreeSlot(now) + c.workBefore(w)/time.Duration(c.parallelism())
	return o, true
}

// OrElse returns what a request may expect of two gates that can both serve it.
func (o Outlook) OrElse(other Outlook) Outlook {
	first := o
	if other.Wait < o.Wait {
		first = other
	}
	first.Free = o.Free + other.Free
	if o.Step > 0 && other.Step > 0 {
		first.Step = time.Duration(1 / (1/float64(o.Step) + 1/float64(other.Step)))
	}
	return first
}

// Outlook returns what a request for r.Member may expect.
func (p *PerMember) Outlook(r Request) (Outlook, bool) { return p.gateFor(r.Member).Outlook(r) }
