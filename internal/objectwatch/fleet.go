package objectwatch

import "github.com/topazrock/topazrock/internal/platform"

// Fleet provides the list of instances; membership.Members implements it.
type Fleet interface {
	Self() platform.Instance
	// IsLoaded reports whether the list of instances has been loaded at least once.
	IsLoaded() bool
	// Live returns the instances that are not leaving.
	Live() []platform.Instance
	// PickCapable selects n instances of each failure domain, of high capacity if there are some, for
	// the task identified by a key.
	PickCapable(key string, n int) []platform.Instance
}

// SelectLocal selects n instances of each failure domain for the task identified by a key. It returns
// those in this instance's own failure domain, and whether this instance was selected.
func SelectLocal(f Fleet, key string, n int) (local []platform.Instance, isSelected bool) {
	self := f.Self()
	for _, i := range f.PickCapable(key, n) {
		if i.FailureDomain == self.FailureDomain {
			local = append(local, i)
		}
		isSelected = isSelected || i.ID == self.ID
	}
	return local, isSelected
}
