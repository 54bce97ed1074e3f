package config

import "github.com/topazrock/topazrock/internal/platform"

// Fleet is the membership view of the other instances. It is implemented by
// membership.Members.
type Fleet interface {
	Self() platform.Instance
	Live() []platform.Instance
	// PickInstances selects n instances of each failure domain, or all if there are
	// fewer. Different keys select different instances.
	PickInstances(key string, n int) []platform.Instance
	// Subscribe registers f to be called after each change of the view.
	Subscribe(f func())
}
