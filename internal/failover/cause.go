package failover

// Cause is why a term is claimed.
type Cause string

// planned reports whether the primary answers and is to be avoided for the term.
func (c Cause) planned() bool { return c == CauseLeaving || c == CauseStalled }

// Causes of a claim.
const (
	// CauseNone: nothing is to be done.
	CauseNone Cause = "none"
	// CauseLost: the primary does not answer.
	CauseLost Cause = "lost"
	// CauseLeaderless: the term has had no primary for the takeover time.
	CauseLeaderless Cause = "leaderless"
	// CauseLeaving: the platform lists the primary as leaving.
	CauseLeaving Cause = "leaving"
	// CauseStalled: the primary answers, but too few replicas get its log.
	CauseStalled Cause = "stalled"
)
