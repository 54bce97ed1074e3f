// Package memberhealth derives the health of a group's members from the outcome of the statements
// that are sent to them. It does no I/O.
//
// A Tracker belongs to one home of a group. It counts each statement once, by the member and the
// member's incarnation at the time of sending: served, failed, silent, or refused before it ran,
// which counts as neither good nor bad. A member is ejected once bad outcomes outweigh the good
// ones, returns by single statements (probation), and is healthy again after several of them.
// Health only orders members: one that is ejected is still used if no other can serve a read.
//
// Homes of one failure domain notify each other of ejections and readmissions. Received evidence
// never ejects a member; until it expires, one own bad outcome is enough to do so. An instance that
// was frozen, restarted or cut off and sends old evidence can therefore at worst have one bad
// statement count early, within evidenceLifetime of the arrival of its message.
//
// Lock order: Tracker.mu and Positions.mu are never held together, and no other lock is taken and no
// function of the configuration except Enabled, Incarnation and Snapshot is called while one is held.
package memberhealth
