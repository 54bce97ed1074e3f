package group

import (
	"slices"
	"time"

	"github.com/topazrock/topazrock/internal/member"
)

// advance notes whether a replica gets on. A replica that is not attached does
// not, however long its log is.
func (w *Watcher) advance(f *follower, t Ticket, s member.Status) {
	if s.Entered != w.term {
		return
	}
	if s.Role == member.RolePrimary {
		w.head = max(w.head, s.Last.Position)
		return
	}
	grows := s.Last.Position > f.reached || s.Last.Position >= w.head
	switch {
	case attached(s, w.term) && grows:
		f.reached, f.stalledAt = s.Last.Position, time.Time{}
	case f.stalledAt.IsZero():
		f.stalledAt = t.at
		f.wake()
	}
}

// stalledSince is the moment from which on fewer replicas than a confirmation
// needs have got on; zero while there are enough, or while it is not known.
func (w *Watcher) stalledSince() time.Time {
	missing := w.quorum
	var stalled []time.Time
	for _, f := range w.followers {
		switch {
		case f.view.Address == w.primary:
		case !f.stalledAt.IsZero():
			stalled = append(stalled, f.stalledAt)
		case !f.attachedAt.IsZero():
			missing--
		}
	}
	if w.primary == "" || missing <= 0 || len(stalled) < missing {
		return time.Time{}
	}
	slices.SortFunc(stalled, func(a, b time.Time) int { return b.Compare(a) })
	return stalled[missing-1]
}
