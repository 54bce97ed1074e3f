package quota

import "time"

const (
	// unlistedGrace is how long an instance that is no longer listed still counts as an owner
	// of a share. The entries of a failure domain that is cut off are removed before its
	// instances detect the cut, and these keep using their shares for cutOffGrace, which is
	// shorter.
	unlistedGrace = 60 * time.Second
	// cutOffGrace is how long an instance that is cut off from most members and instances keeps
	// using its share.
	cutOffGrace = 45 * time.Second
	// newInstanceDelay is how long a new instance owns no share: by then the other instances
	// count it.
	newInstanceDelay = 3 * time.Second
)

// Ownership determines from the list of instances into how many shares the limits are divided.
//
// If two instances count differently, the shares add up to more than the whole limit if the
// lower count is wrong. An instance that is no longer listed is therefore counted for a while
// longer, and a new one owns nothing until the others count it. Ownership does no I/O and is
// not safe for concurrent use.
type Ownership struct {
	self string
	// lastListedAt is when each instance was last listed.
	lastListedAt map[string]time.Time
	// ownsFrom is when this instance begins to own a share; zero until the list is known.
	ownsFrom time.Time
	// cutOffSince is when this instance was cut off; zero if it is not.
	cutOffSince time.Time
}

// NewOwnership returns the ownership of an instance that knows of no other.
func NewOwnership(self string) *Ownership {
	return &Ownership{self: self, lastListedAt: make(map[string]time.Time)}
}

// UpdateInstances records the list of instances. If the first non-empty list already contains
// this instance, it was there before this process and does not count as new.
func (o *Ownership) UpdateInstances(listed []string, now time.Time) {
	first := o.ownsFrom.IsZero()
	found := false
	for _, id := range listed {
		o.lastListedAt[id] = now
		found = found || id == o.self
	}
	if first && len(listed) > 0 {
		o.ownsFrom = now
		if !found {
			o.ownsFrom = now.Add(newInstanceDelay)
		}
	}
	for id, listedAt := range o.lastListedAt {
		if now.Sub(listedAt) > unlistedGrace {
			delete(o.lastListedAt, id)
		}
	}
}

// SetCutOff records whether this instance is cut off.
func (o *Ownership) SetCutOff(cutOff bool, now time.Time) {
	if !cutOff {
		o.cutOffSince = time.Time{}
	} else if o.cutOffSince.IsZero() {
		o.cutOffSince = now
	}
}

// ShareCount returns the number of shares that each limit is divided into, of which this instance
// owns one; zero while it owns none.
func (o *Ownership) ShareCount(now time.Time) int {
	if o.ownsFrom.IsZero() || now.Before(o.ownsFrom) {
		return 0
	}
	if !o.cutOffSince.IsZero() && now.Sub(o.cutOffSince) > cutOffGrace {
		return 0
	}
	count := len(o.lastListedAt)
	if _, listed := o.lastListedAt[o.self]; !listed {
		count++
	}
	return count
}
