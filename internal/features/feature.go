package features

// Feature is an optional mechanism. Its value is the name of its key in the settings and the label
// of its metric.
type Feature string

// Features.
const (
	// MemberHealth derives the health of members from the outcome of their statements.
	MemberHealth Feature = "member_health"
	// FailingPrimary replaces a primary that answers status requests and fails its statements.
	FailingPrimary Feature = "failing_primary"
	// FairWorkspaces divides a member's capacity fairly among the workspaces that compete for it.
	FairWorkspaces Feature = "fair_workspaces"
	// UrgentTokens gives the tokens of a workspace's limit to its more urgent classes first.
	UrgentTokens Feature = "urgent_tokens"
	// ConnectionReserve keeps connections of each member free for a restart of all instances.
	ConnectionReserve Feature = "connection_reserve"
	// ConnectionCost keeps the connections whose loss is expected to cost the most openings.
	ConnectionCost Feature = "connection_cost"
	// SharedHomes lets one home of all failure domains serve a small workspace that has
	// connections of its own.
	SharedHomes Feature = "shared_homes"
	// HomeBalancing sends units to the home that is expected to serve them first.
	HomeBalancing Feature = "home_balancing"
	// CallerDisconnects ends the waits of units whose caller has disconnected.
	CallerDisconnects Feature = "caller_disconnects"
)

// All returns every feature, in the order of the operator documentation.
func All() []Feature {
	return []Feature{MemberHealth, FailingPrimary, FairWorkspaces, UrgentTokens, ConnectionReserve, ConnectionCost, SharedHomes, HomeBalancing, CallerDisconnects}
}
