package group

import (
	"math/bits"
	"slices"

	"github.com/topazrock/topazrock/internal/document"
)

// SetMembers replaces the group's members. Those that stay are followed on; what a
// member that left had proved is forgotten, since its place goes to another one.
func (w *Watcher) SetMembers(members []document.Member, least int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := func(address string) bool {
		return slices.ContainsFunc(members, func(m document.Member) bool { return m.Address == address })
	}
	changed := false
	w.followers = slices.DeleteFunc(w.followers, func(f *follower) bool {
		if listed(f.view.Address) {
			return false
		}
		w.drop(f)
		changed = true
		return true
	})
	for _, m := range members {
		if w.find(m.Address) == nil {
			f := w.addFollower(m)
			if w.running != nil {
				w.running(f)
			}
			changed = true
		}
	}
	if !changed && least == w.least {
		return
	}
	w.least = least
	w.countSeats()
	w.notify()
	w.publish()
}

// addFollower makes a follower with an index that no other has.
func (w *Watcher) addFollower(m document.Member) *follower {
	var used uint64
	for _, f := range w.followers {
		used |= 1 << f.index
	}
	f := newFollower(w, bits.TrailingZeros64(^used), m, w.dialer)
	w.followers = append(w.followers, f)
	return f
}

// drop ends a follower and all that it had proved.
func (w *Watcher) drop(f *follower) {
	if f.stop != nil {
		f.stop()
	}
	if w.primary == f.view.Address {
		w.primary = ""
	}
	w.samples.forget(f.index)
	for x := range w.waiters {
		x.holders &^= f.bit()
		delete(x.told, f.bit())
	}
}
