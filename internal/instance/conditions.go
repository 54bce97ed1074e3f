package instance

import "github.com/topazrock/topazrock/internal/features"

// incarnationReporter is implemented by Documents whose members may report when they started.
type incarnationReporter interface {
	// MembersReportStart reports whether some member's entry names its start.
	MembersReportStart() bool
}

// observeConditions tells the features what the lists of instances and members show of the
// deployment.
func (n *Instance) observeConditions() {
	if features.InstancesAreUneven(n.members.Live()) {
		n.features.Observe(features.UnevenInstances)
	}
	if d, ok := n.documents.(incarnationReporter); ok && d.MembersReportStart() {
		n.features.Observe(features.MemberIncarnations)
	}
}
