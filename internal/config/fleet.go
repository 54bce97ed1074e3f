package config

import "github.com/topazrock/topazrock/internal/platform"

// Fleet is the view of the other instances; membership.Members implements it.
type Fleet interface {
	Self() platform.Instance
	Live() []platform.Instance
	// Pick returns n instances of each failure domain for a duty.
	Pick(key string, n int) []platform.Instance
	// Subscribe calls f after each change of the view.
	Subscribe(f func())
}
