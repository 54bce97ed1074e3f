package failover

// Cause is why a term is claimed.
type Cause string

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
)
