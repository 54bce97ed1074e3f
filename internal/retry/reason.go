// Package retry decides whether a request is tried again, and when.
//
// Only two kinds of request may be tried again: a read, and a write that was
// provably not sent. Retries of a group spend a budget that its requests fill,
// so that they can add no more than a fixed part to the load of a group that is
// in trouble.
//
// Lock order: Budget.mu is the only lock; nothing is called under it but the
// clock and the random source.
package retry

// Reason is why an attempt failed. The set is closed, because reasons are
// metric labels.
type Reason string

// Reasons for a retry.
const (
	// Unreachable: no connection to the member could be opened.
	Unreachable Reason = "upstream_unreachable"
	// Full: the member or the share of connections had no room.
	Full Reason = "too_many_connections"
	// ConnectionLost: the connection broke under a read.
	ConnectionLost Reason = "connection_lost"
	// Silent: the member did not answer a read in time.
	Silent Reason = "statement_timeout"
	// Busy: the member had no room for the statement.
	Busy Reason = "member_busy"
	// Failed: the member failed a read that another one may answer.
	Failed Reason = "read_failed"
	// NoPrimary: the group had no primary.
	NoPrimary Reason = "no_primary"
	// Replaced: the member turned out not to be the primary, before sending.
	Replaced Reason = "primary_replaced"
	// Slow: the member has not answered a read yet, and another one is asked too.
	Slow Reason = "slow"
	// NotFresh: the chosen replica did not reach the position in time.
	NotFresh Reason = "no_fresh_replica"
	// PeerUnreachable: no home instance of the group could be reached.
	PeerUnreachable Reason = "peer_unreachable"
)
