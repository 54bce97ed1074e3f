package instance

import "time"

// instanceListTimeout is how long an instance that knows the groups and not yet the other instances
// is home to none: a few slow answers of the platform.
const instanceListTimeout = 3 * time.Second

// listWait decides whether an instance may choose its homes by the instances it knows.
//
// The load pattern is a return of a whole fleet. Documents and members' entries arrive
// before the list of instances, and an instance that takes itself for the only one is home
// to every group: all instances open connections to all members, which refuse what is past
// their bound while they still count the connections from before, and all but a few homes
// are retired a moment later. It does no I/O.
type instanceListWait struct {
	// groupsKnownSince is when the first groups were known.
	groupsKnownSince time.Time
}

// awaits reports whether to go on without homes. It gives the list of instances up after its
// time: the platform may be away for long, and the homes' least shares serve until then.
func (v *instanceListWait) pending(now time.Time, groups int, listKnown bool) bool {
	if groups == 0 {
		return true
	}
	if v.groupsKnownSince.IsZero() {
		v.groupsKnownSince = now
	}
	return !listKnown && now.Sub(v.groupsKnownSince) < instanceListTimeout
}
