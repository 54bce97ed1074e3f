package features

// Condition is a property of the deployment that calls for features.
type Condition uint32

// Conditions.
const (
	// ScarceCapacity: the operator declares that callers compete for too little capacity at times.
	ScarceCapacity Condition = 1 << iota
	// MemberIncarnations: the members' entries name their start, so that what was observed of one
	// process of a member is not held against the next.
	MemberIncarnations
	// UnevenInstances: the instances differ in capacity.
	UnevenInstances
)

// conditions returns the conditions that the feature answers.
func (f Feature) conditions() Condition {
	switch f {
	case MemberHealth, FailingPrimary:
		return MemberIncarnations
	case FairWorkspaces, UrgentTokens, ConnectionReserve, ConnectionCost, CallerDisconnects:
		return ScarceCapacity
	case HomeBalancing:
		return ScarceCapacity | UnevenInstances
	default:
		// SharedHomes is enabled by its mode alone: it trades openings for hops between failure
		// domains, which cost answers when one of them is cut off.
		return 0
	}
}
