package shares

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/topazrock/topazrock/internal/clock"
)

// EqualShare is a share without a ledger: an equal part of the connections that each member
// accepts, computed from the number of instances that serve the group. It fits members
// that limit their connections themselves and refuse excess connections without harm. Two
// instances may briefly disagree about how many instances serve the group; a member then
// refuses a connection and the pool waits, which costs less than a ledger that every
// instance writes.
//
// A new share starts with half of its connections. A machine that loses power closes
// none of its connections, and members keep counting them for a while. When all
// machines restart at once, full shares would not fit beside the lost connections: each
// refused connection attempt would cost the member a slot, and instances that start a
// moment later would get nothing. Half fits if the lost instances used no more than the
// other half.
//
// With a Reserve, the homes together leave connections of each member free, and a new share has
// its part of the reserve instead of half of its size. It grows as soon as every member reports
// that it counts few enough connections, which is so unless many instances were lost, and after
// LostConnectionTimeout otherwise. The decision needs no state but the members' own counts of the
// moment: a home that was frozen or cut off grows after the timeout at the latest, and members
// then refuse what is too much. Homes that grow on the same counts at the same moment can take the
// reserve; this costs the others no more than a start without a reserve.
//
// EqualShare.mu is not held across calls of other components.
type EqualShare struct {
	// Group is the group's name in logs and metrics. Logger and Metrics may be nil.
	Group   string
	Logger  hclog.Logger
	Metrics *EqualMetrics
	Clock   clock.Clock
	// LostConnectionTimeout is how long a member counts connections whose other end has vanished. The
	// share has half its size for this time after the start, and its full size
	// afterwards; with zero it starts with the full size.
	LostConnectionTimeout time.Duration
	// Connections is limited by the share.
	Connections Resource
	// SetPerMember is called with the number of connections that the share allows to each
	// member.
	SetPerMember func(perMember int)
	// ControlPerMember is the number of connections to each member that the instance uses in
	// addition to Connections.
	ControlPerMember int
	// PartOf returns this instance's part of a total number of connections.
	PartOf func(total int) int
	// OnHeldChanged is called with true when the share is held and with false before it
	// is released.
	OnHeldChanged func(held bool)
	// ReserveOf returns the reserve at each member of a group with these limits; the zero Reserve
	// or a nil function disables it.
	ReserveOf func(Allocation) Reserve
	// SetLostUntil is called with the time until which members may count lost connections when a
	// start within the reserve begins, and with the zero time when it ends. It may be nil.
	SetLostUntil func(time.Time)

	mu sync.Mutex
	// starting is true until the share has its full size.
	starting bool
	// withinReserve is true during a start within the reserve. roomFound is closed when every
	// member has reported room, and counted holds the last reports by member.
	withinReserve bool
	roomFound     chan struct{}
	counted       map[string]int
	allocation    Allocation
	limit         Amount
	held          bool
}

// minPerMember is the minimum number of pooled connections to each member: without one
// the instance could not serve requests.
const minPerMember = 1

// Run holds the share until ctx ends.
func (e *EqualShare) Run(ctx context.Context) {
	e.beginWithinReserve()
	e.setStarting(e.LostConnectionTimeout > 0)
	e.setHeld(true)
	e.OnHeldChanged(true)
	if e.LostConnectionTimeout > 0 && e.awaitFullSize(ctx) {
		e.setStarting(false)
	}
	<-ctx.Done()
}

func (e *EqualShare) setStarting(starting bool) {
	e.mu.Lock()
	e.starting = starting
	e.mu.Unlock()
	e.recompute()
}

// Close releases the share and waits until its connections are closed.
func (e *EqualShare) Close(ctx context.Context) error {
	e.setHeld(false)
	e.OnHeldChanged(false)
	e.Connections.Set(0)
	return e.Connections.WaitWithinLimit(ctx)
}

// SetAllocation replaces the group's limits and recomputes a share that is held.
func (e *EqualShare) SetAllocation(a Allocation) {
	e.mu.Lock()
	e.allocation = a
	held := e.held
	e.mu.Unlock()
	if held {
		e.recompute()
	}
}

// recompute computes the share and sets the limits.
func (e *EqualShare) recompute() {
	e.mu.Lock()
	a, starting := e.allocation, e.starting
	e.mu.Unlock()
	reserve := e.reserveOf(a)
	perMember := e.fullSize(a, reserve)
	switch {
	case starting && reserve.PerHome > 0:
		perMember = min(reserve.PerHome-e.ControlPerMember, perMember)
	case starting:
		perMember = (perMember + 1) / 2
	}
	perMember = max(perMember, minPerMember)
	next := Amount{Connections: perMember * a.Members, Slots: perMember * a.Members}
	e.mu.Lock()
	changed := next != e.limit
	e.limit = next
	e.mu.Unlock()
	if changed {
		e.Connections.Set(next.Connections)
		e.SetPerMember(perMember)
	}
}

// Limit returns what this instance may use, without control connections.
func (e *EqualShare) Limit() Amount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limit
}

// HoldsShare reports whether the share is held.
func (e *EqualShare) HoldsShare() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

func (e *EqualShare) setHeld(held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = held
}
