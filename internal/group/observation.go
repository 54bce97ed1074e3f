package group

import (
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

// Observation is what the answer to a caller's statement shows of a member. It
// costs nothing, so where answers tell it, members that serve statements need
// not be polled.
type Observation struct {
	// Log is the end of the member's log.
	Log logpos.Mark
	// Committed says that the member committed a write of the statement, which
	// only a primary does; Log is then a position in its term.
	Committed bool
}

// Observed implements Tracker.
func (w *Watcher) Observed(address string, t Ticket, s Observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.find(address)
	if f == nil {
		return
	}
	f.observedAt = t.at
	f.recovered()
	if s.Committed {
		w.raise(s.Log.Term)
	}
	if s.Log.Term != w.term {
		return
	}
	switch {
	case s.Committed:
		f.led = max(f.led, s.Log.Term)
		w.head = max(w.head, s.Log.Position)
		w.samples.add(f.index, t, s.Log)
	case address != w.primary && f.led != w.term:
		w.observedReplica(f, t, s.Log)
	}
}

// observedReplica notes how far a replica's log reaches at least. A log that
// holds a commit of the term proves that the commit came before any fence of the
// replica, but not that no fence came since, so that only waiters for a commit
// count it.
func (w *Watcher) observedReplica(f *follower, t Ticket, log logpos.Mark) {
	if t.number > f.newest && attached(f.view.Status, w.term) {
		f.attachedAt = t.at
		f.view.Status.Last = log
	}
	if log.Position > f.reached {
		f.reached, f.stalledAt = log.Position, time.Time{}
	}
	w.samples.hold(f.index, t, log.Position)
	w.prove()
	w.countPosition(f, log)
}
