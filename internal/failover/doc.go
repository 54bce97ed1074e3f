// Package failover replaces a group's primary that is lost or leaving, and
// attaches the other members to the new one.
//
// # Steps
//
// A claimer detects a failing primary through the group watcher's probes on new
// connections, queries peers in other failure domains, and claims the next term by
// a conditional update of the group's object on the platform. It makes a
// majority of the members enter the term (fencing), promotes the one with the
// highest last record, ordered by (term of the record, position), makes the others
// follow it, and records the primary in the object.
//
// # Safety
//
// The platform grants each term to one claim. The claim carries a unique ID, so if
// the answer to the update is lost, the claimer reads the object again to find out
// whether its claim was stored. A claim promotes at most one member: if the answer
// to a promotion is lost, only the same member is retried in that term, and another
// choice requires another term. Members reject terms lower than the one they
// entered, so a claimer that was frozen for any length of time does no harm when
// it resumes. An acknowledged write is on a majority of the members in its term;
// every promotion first fences a majority and picks the highest log among it; and
// any two majorities share a member. Safety depends on no lease and no clock:
// timeouts decide only when a claimer tries, never whether the result is correct.
//
// Where promotions are requested from a service that compares neither terms nor claims, their
// order does depend on time. The claimer announces the request in the group's object, which
// fails if another claim has replaced its own, and sends it only within AttemptTimeout of the
// claim. Other claimers give an announced claim AnnouncedTimeout, unless it is withdrawn. A
// request can be late only if its process is paused, between the last check and the write, for
// the difference of the two.
//
// # Which instance claims, and when
//
// Live instances are ranked by rendezvous hash and start staggered by rank, so
// that they do not race each other. If a claimer dies or freezes, another
// instance claims the next term after a takeover timeout.
//
// A claim requires both of the following: the claimer itself reaches a majority of
// the members, and among the failure domains that report a state, its own included,
// more report the primary lost than alive. A domain that does not answer is not
// counted. As a result, one cut link causes no failover, because the other domains
// still reach the primary; the loss of a whole domain is decided by the remaining
// ones; and a claimer that gets no answers still acts if it reaches the majority
// that it must fence anyway.
//
// # A primary that fails its statements
//
// A primary that answers status requests is replaced if it fails nearly all statements of this
// instance for FailingTime, more failure domains report it failing than serving, and at least two
// do where two have homes. Evidence holds for one member, one start of its process and one
// term. The group's record keeps the last term claimed for this cause, and no claimer claims another one
// within SwitchCooldown of when it first saw that term. A claimer that was frozen or cut off
// finds another term or record; one that restarted waits longer, never shorter.
//
// # Concurrency
//
// A Claimer has no lock. Its two goroutines, the primaryMonitor and the attacher,
// own their state and communicate with other components through interfaces.
package failover
