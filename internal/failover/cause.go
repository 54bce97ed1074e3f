package failover

// Cause is the reason for claiming a term.
type Cause string

// planned reports whether the primary still answers and another member is preferred.
func (c Cause) planned() bool {
	return c == CauseLeaving || c == CauseStalled || c == CauseFailing
}

// avoidsPrimary reports whether the primary is to be avoided as a candidate.
func (c Cause) avoidsPrimary() bool { return c == CauseStalled || c == CauseFailing }

// Causes of a claim.
const (
	// CauseNone: no claim is needed.
	CauseNone Cause = "none"
	// CauseLost: the primary does not answer.
	CauseLost Cause = "lost"
	// CauseLeaderless: the term has had no primary for the takeover timeout.
	CauseLeaderless Cause = "leaderless"
	// CauseLeaving: the platform lists the primary as leaving.
	CauseLeaving Cause = "leaving"
	// CauseStalled: the primary answers, but too few replicas receive its log.
	CauseStalled Cause = "stalled"
	// CauseFailing: the primary answers status requests and fails its statements.
	CauseFailing Cause = "failing"
)
