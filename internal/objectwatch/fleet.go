package objectwatch

import "github.com/topazrock/topazrock/internal/platform"

// Fleet is the view of the other instances; membership.Members implements it.
type Fleet interface {
	Self() platform.Instance
	// Known reports whether the others have been learned once.
	Known() bool
	// Live returns the instances that are not leaving.
	Live() []platform.Instance
	// Pick returns n instances of each failure domain for a duty.
	Pick(duty string, n int) []platform.Instance
}

// OnDuty returns those of n instances of each failure domain that have a duty in this
// instance's domain, and whether this one is among them.
func OnDuty(f Fleet, duty string, n int) (near []platform.Instance, self bool) {
	me := f.Self()
	for _, i := range f.Pick(duty, n) {
		if i.FailureDomain == me.FailureDomain {
			near = append(near, i)
		}
		self = self || i.ID == me.ID
	}
	return near, self
}
