// Package group tracks the members of one database group. It polls them, records what they
// report, and publishes an immutable snapshot for routing.
//
// Three guarantees are derived from the reports. Confirm waits until enough replicas of a
// term hold a position, so that the position is on a majority. Barrier asks the primary
// for its position after a read arrived, and confirms that position. FreshAsOf times bound
// the age of a replica's data; they are computed from past positions of the primary and
// never from the lag that a replica reports.
//
// # Which reports count
//
// A Ticket is taken before each query to a member is sent, and at the start of each
// Confirm and Barrier. A report counts for a waiter only if its ticket is later than the
// waiter's. With n members a waiter needs reports from n/2 replicas, rounded down, each of
// which has entered the mark's term, is attached in it, and is at or past the mark's
// position. Together with the primary they are a majority.
//
// Invariant: when Confirm or Barrier returns without error, no higher term had fenced a
// majority of the members at the time the primary reported the mark (a Barrier asks for
// that report after it began), and the position is on a majority of the members in the
// mark's term.
//
// Reason: a promotion in term t first makes a majority enter t, and two majorities share a
// member. If the fencing was complete before the mark was reported, the shared member
// would have reported t or higher, whether it is the primary that reported the mark or a
// replica, which was queried even later. If the shared member was fenced after its report,
// it already held the position, and the promotion selects a log at least as good as its
// own. A report that was requested before the call proves the second half of the invariant
// but not the first, so a read at a replaced primary would succeed; the tickets prevent
// this. They are counters rather than times: a process that was paused cannot mistake an
// old report for a new one, and no two clocks need to agree.
//
// # Proven age
//
// The primary's reports are kept as samples (request time, position). A sample proves that
// a replica's data is no older than the sample's time once the replica, queried after the
// sample, reports the same term and at least that position, and n/2 replicas have done so.
// A new term drops all samples that are not proven, since positions of two terms are not
// comparable. What was proven before remains true after a change of term, because every
// acknowledged write is in the new log. The proof ends when the replica reports a log
// shorter than the position that proved it.
//
// # Locks
//
// Watcher.mu guards all mutable state. It is the only lock, is not held during I/O or
// callbacks, and is never acquired while another lock is held.
package group
