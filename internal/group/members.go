package group

import (
	"math/bits"
	"slices"

	"github.com/topazrock/topazrock/internal/document"
)

// SetMembers replaces the group's members. Members that remain continue to be polled. What
// a removed member had proven is discarded, because its index may be reused.
func (w *Watcher) SetMembers(members []document.Member, minSize int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := func(address string) bool {
		return slices.ContainsFunc(members, func(m document.Member) bool { return m.Address == address })
	}
	changed := false
	w.pollers = slices.DeleteFunc(w.pollers, func(p *poller) bool {
		if listed(p.view.Address) {
			return false
		}
		w.removePoller(p)
		changed = true
		return true
	})
	for _, m := range members {
		if w.findPoller(m.Address) == nil {
			p := w.addPoller(m)
			if w.startPoller != nil {
				w.startPoller(p)
			}
			changed = true
		}
	}
	if !changed && minSize == w.minSize {
		return
	}
	w.minSize = minSize
	w.updateQuorum()
	w.signalChange()
	w.publishSnapshot()
}

// addPoller creates a poller with an unused index.
func (w *Watcher) addPoller(m document.Member) *poller {
	var used uint64
	for _, p := range w.pollers {
		used |= 1 << p.index
	}
	p := newPoller(w, bits.TrailingZeros64(^used), m, w.dialer)
	w.pollers = append(w.pollers, p)
	return p
}

// removePoller stops a poller and discards what its member had proven.
func (w *Watcher) removePoller(p *poller) {
	if p.stop != nil {
		p.stop()
	}
	if w.primary == p.view.Address {
		w.primary = ""
	}
	w.samples.removeHolder(p.index)
	for wt := range w.waiters {
		wt.holders &^= p.bit()
		delete(wt.reported, p.bit())
	}
}
