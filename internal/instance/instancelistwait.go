package instance

import "time"

// instanceListTimeout bounds the wait for the list of instances. It allows for a few slow
// answers of the platform.
const instanceListTimeout = 3 * time.Second

// maxGroupsWithoutList is the largest number of groups to which an instance becomes home without the
// list of instances. A home follows each member of its group over a connection of its own, so that
// an instance that became home to every group of a large fleet would have no processor time, memory
// or descriptors left for its callers.
const maxGroupsWithoutList = 64

// instanceListWait delays the start of homes until the list of instances is known.
//
// It matters when a whole fleet restarts. Documents and members' entries arrive before the
// list of instances, and an instance that knows of no other is home to every group. All
// instances would then open connections to all members. The members refuse the connections
// beyond their limit, because they still count those from before the restart, and a moment
// later all but a few homes would be retired. It does no I/O.
type instanceListWait struct {
	// groupsKnownSince is when groups were first known.
	groupsKnownSince time.Time
}

// pending reports whether homes must not be started yet. Without the list, homes of up to
// maxGroupsWithoutList groups start after instanceListTimeout: an outage of the platform may be
// long, and until it ends each home serves with a small share.
func (w *instanceListWait) pending(now time.Time, groups int, listKnown bool) bool {
	if groups == 0 {
		return true
	}
	if w.groupsKnownSince.IsZero() {
		w.groupsKnownSince = now
	}
	if listKnown {
		return false
	}
	return groups > maxGroupsWithoutList || now.Sub(w.groupsKnownSince) < instanceListTimeout
}
