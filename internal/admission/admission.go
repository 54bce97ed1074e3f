// Package admission decides which requests run immediately, which wait, and which are
// refused.
//
// Waiters that can still be answered within the latency objective of their class are served
// before those that cannot. Each of the two groups is ordered by priority, then by the time
// at which the answer is due, then by arrival. Every eighth slot granted from the queue
// goes to the waiter of the same group that has waited longest, so that a low priority
// keeps a small share under any load and the others lose no more than that share. Waiters
// that cannot meet their objective any more (late waiters) get only the slots that the
// others do not need.
//
// In the fair order (Config.FairOrder) the account of the workspace comes between the priority
// and the due time: of the waiters of one priority, the workspace goes first that will have used
// least service time for its weight. The priority goes before the account, because an urgent
// answer is worth more to its caller than the share of a workspace that asks for a less urgent
// one; and lateness before both, as above. In place of every eighth slot, an eighth of the
// service time goes to the workspace that has used least, whatever its priorities, and to the
// oldest of its waiters. A workspace therefore gets its share among requests of its priority
// and above, and a part of it beside any load of higher priority; a workspace alone gets all
// slots. The cost of a slot is the service time of its class, charged when it is granted.
// Requests are refused for the work that is expected to be served before them in that order.
//
// Accounts are kept by each gate for itself, in memory, and only while requests wait.
//
// Lock order: Controller.mu is the only lock. Only the clock, the random source, the logger,
// the metrics and Config.FairOrder are called while it is held.
package admission

import (
	"context"
	"time"
)

// Request describes a request for a slot.
type Request struct {
	Class string
	// Priority orders waiters; 1 is the highest, 9 the lowest.
	Priority int
	// MaxQueue bounds the number of waiters of the class.
	MaxQueue int
	// Deadline is the caller's deadline.
	Deadline time.Time
	// ObjectiveDeadline is the time by which the class's objective requires the answer; zero if the
	// class has no objective.
	ObjectiveDeadline time.Time
	// Workspace is the workspace of the caller; empty if it has none.
	Workspace string
	// WorkspaceWeight is the workspace's weight in the fair order, 1 to MaxWeight; zero means 1.
	WorkspaceWeight int
	// InTransaction is set for statements of an open transaction.
	InTransaction bool
	// Member is the address of the member that the request is for. Gates with separate
	// slots for each member use it.
	Member string
}

// Gate grants the slots of one group.
type Gate interface {
	// Acquire waits for a slot. Errors are *result.Error of the did-not-run family and carry
	// a retry-after.
	Acquire(ctx context.Context, r Request) (*Slot, error)
}
