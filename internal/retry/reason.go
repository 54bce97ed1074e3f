// Package retry decides whether and when a failed request is retried.
//
// Only two kinds of request may be retried: a read, and a write that was provably not sent.
// Retries of a group are paid from a budget that its requests fill, so that retries add at
// most a fixed fraction to the load of a failing group.
//
// Lock order: Budget.mu is the only lock. Only the clock, the random source and the metrics
// are called while it is held.
package retry

// Reason states why an attempt failed. The set of reasons is fixed because they are metric
// labels.
type Reason string

// Reasons for a retry.
const (
	// Unreachable: no connection to the member could be opened.
	Unreachable Reason = "upstream_unreachable"
	// ConnectionLimit: the member's connection limit, or this instance's share of it, was reached.
	ConnectionLimit Reason = "too_many_connections"
	// ConnectionLost: the connection was lost during a read.
	ConnectionLost Reason = "connection_lost"
	// ReadTimeout: the member did not answer a read in time.
	ReadTimeout Reason = "statement_timeout"
	// Busy: the member had no capacity for the statement.
	Busy Reason = "member_busy"
	// ReadFailed: the member failed a read that another member may be able to answer.
	ReadFailed Reason = "read_failed"
	// NoPrimary: the group had no primary.
	NoPrimary Reason = "no_primary"
	// PrimaryReplaced: the member was found not to be the primary, before the request was
	// sent.
	PrimaryReplaced Reason = "primary_replaced"
	// Slow: the member has not answered a read yet, and the read is also sent to another
	// member.
	Slow Reason = "slow"
	// NotFresh: the chosen replica did not reach the required position in time.
	NotFresh Reason = "no_fresh_replica"
	// PeerUnreachable: no home instance of the group could be reached.
	PeerUnreachable Reason = "peer_unreachable"
)
