// Package group follows the members of one database group: it probes them,
// keeps what they reported, and lets routing read an immutable snapshot.
//
// Three kinds of waiting are built on the reports. Confirm waits until enough
// replicas of a term hold a position, so that the position is on a majority.
// Barrier asks the primary for its position after a read arrived and confirms
// it. Fresh-as-of times say how old a replica's data can be at most; they come
// from the primary's past positions and never from a replica's claim of lag.
//
// # Which reports count
//
// Every question to a member takes a Ticket before it is sent, and so does
// every Confirm and Barrier. A report counts for a waiter only if its ticket is
// the later one. With n members a waiter needs n/2 replicas, rounded down, that
// each reported: entered the mark's term, attached in it, at or past the mark's
// position. Together with the primary these are a majority.
//
// Invariant: when Confirm or Barrier returns without error, no higher term had
// fenced a majority of the members when the primary reported the mark, which a
// Barrier asks for after it began; and the position is on a majority of the
// members in the mark's term.
//
// Why: a promotion in term t first makes a majority enter t. Two majorities
// share a member. Had the fence been complete before the mark was reported, the
// shared member would have reported t or more: the primary with the mark, or a
// replica, whose report was asked for later still. Had it been fenced after its
// report, it held the position by then, and the promotion takes a log at least
// as good as its own. A report that was asked
// for before the call proves the position too, but not the first half, so that
// a read at a replaced primary would pass; hence the tickets. They are counters
// and not times: a process that was paused cannot mistake an old report for a
// new one, and no clock has to agree with another.
//
// # Proved age
//
// The primary's reports are kept as samples (asked at, position). A sample
// proves for a replica that its data is no older than the sample's time once
// the replica, asked after the sample, reports the same term and that position,
// and n/2 replicas have done so. A new term drops all samples, since positions
// of two terms do not compare. What was proved before stays true through a
// change of term, because all that was acknowledged is in the new log; it ends
// when the replica's log is seen shorter than the position it was proved by.
//
// # Locks
//
// Watcher.mu guards everything that changes. It is the only lock, is held for
// no I/O and no callback, and is never taken while another lock is held.
package group
