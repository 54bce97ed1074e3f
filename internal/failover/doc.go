// Package failover replaces a group's primary that is lost or leaving, and
// attaches the other members to the new one.
//
// # Steps
//
// A claimer suspects the primary by the group watcher's probes on new
// connections, asks peers in other failure domains, and claims the next term by
// a conditional update of the group's object on the platform. It makes a
// majority of the members enter the term (fence), promotes the one with the
// highest last record by (term of the record, position), lets the others follow
// it, and records the primary in the object.
//
// # Why it is safe
//
// The platform gives every term to one claim, named by a claim ID, so that a
// lost answer is settled by reading the object again. A claim promotes one
// member at most: if the answer to a promotion is lost, only the same member is
// asked again in that term, and another choice takes another term. Members
// refuse terms lower than the one they entered, so that a claimer which was
// frozen for any time does no harm when it goes on. An acknowledged write is on
// a majority in its term; every promotion fences a majority first, and takes the
// highest log among it; two majorities share a member. No lease and no clock
// take part: times only decide when somebody tries, never whether it is right.
//
// # Who tries, and when
//
// Live instances are ranked by rendezvous hash and start staggered by rank, so
// that they do not race each other. A claim whose claimer dies or freezes is
// followed by a claim of the next term after a takeover time.
//
// A claim needs both: the claimer itself reaches a majority of the members, and
// among the failure domains that have an opinion, its own included, more call the
// primary lost than alive. A domain that does not answer has no opinion. So one
// cut link moves nothing, because the other domains still see the primary; the
// loss of a whole domain is decided by the rest; and a claimer that nobody answers
// still acts if it reaches the majority that it has to fence anyway.
//
// # Locks
//
// A Claimer has no lock. Its two goroutines, the guard and the attacher, own
// their state, and meet other parts through interfaces.
package failover
