package quota

import "time"

const (
	// goneAfter is how long an instance that is not listed any more counts as one of those
	// that share the limits. A failure domain that is cut off loses its entries before it
	// knows, and goes on with its shares; it gives them up earlier than this (cutOffAfter).
	goneAfter = 60 * time.Second
	// cutOffAfter is how long an instance that is cut off from most members and instances
	// goes on with its share.
	cutOffAfter = 45 * time.Second
	// newcomerAfter is how long a new instance has no share: the others know of it by then.
	newcomerAfter = 3 * time.Second
)

// Ownership decides into how many shares the limits are divided, by the list of instances.
//
// Two instances that count differently own more than the whole together where the lower count
// is wrong. So an instance that vanished counts for a while longer, and one that is new owns
// nothing until the others count it. It does no I/O, and is not safe for concurrent use.
type Ownership struct {
	self string
	// listedAt is when each instance was last listed.
	listedAt map[string]time.Time
	// ownsFrom is when this instance has a share; zero while the list is not known.
	ownsFrom time.Time
	// cutOffSince is since when this instance has been cut off; zero if it is not.
	cutOffSince time.Time
}

// NewOwnership returns the ownership of an instance that knows of no other.
func NewOwnership(self string) *Ownership {
	return &Ownership{self: self, listedAt: make(map[string]time.Time)}
}

// Observe takes in the list of instances. An instance that is in the first one that it sees has
// been there before.
func (o *Ownership) Observe(listed []string, now time.Time) {
	first := o.ownsFrom.IsZero()
	found := false
	for _, id := range listed {
		o.listedAt[id] = now
		found = found || id == o.self
	}
	if first && len(listed) > 0 {
		o.ownsFrom = now
		if !found {
			o.ownsFrom = now.Add(newcomerAfter)
		}
	}
	for id, at := range o.listedAt {
		if now.Sub(at) > goneAfter {
			delete(o.listedAt, id)
		}
	}
}

// SetCutOff notes whether this instance is cut off.
func (o *Ownership) SetCutOff(cutOff bool, now time.Time) {
	if !cutOff {
		o.cutOffSince = time.Time{}
	} else if o.cutOffSince.IsZero() {
		o.cutOffSince = now
	}
}

// Parts returns how many shares there are, of which this instance owns one; zero while it owns
// none.
func (o *Ownership) Parts(now time.Time) int {
	if o.ownsFrom.IsZero() || now.Before(o.ownsFrom) {
		return 0
	}
	if !o.cutOffSince.IsZero() && now.Sub(o.cutOffSince) > cutOffAfter {
		return 0
	}
	parts := len(o.listedAt)
	if _, listed := o.listedAt[o.self]; !listed {
		parts++
	}
	return parts
}
