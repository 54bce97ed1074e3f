package shares

import (
	"context"
	"time"
)

// reserveOf returns the reserve at each member of a group with these limits.
func (e *EqualShare) reserveOf(a Allocation) Reserve {
	if e.ReserveOf == nil {
		return Reserve{}
	}
	r := e.ReserveOf(a)
	e.Metrics.setReserve(e.Group, r.Connections)
	return r
}

// fullSize returns the number of pooled connections to each member after the start.
func (e *EqualShare) fullSize(a Allocation, r Reserve) int {
	return e.PartOf(a.PerMember-r.Connections) - e.ControlPerMember
}

// beginWithinReserve begins a start within the reserve if there is one.
func (e *EqualShare) beginWithinReserve() {
	e.mu.Lock()
	a := e.allocation
	e.mu.Unlock()
	if e.LostConnectionTimeout <= 0 || e.reserveOf(a).PerHome == 0 {
		return
	}
	e.mu.Lock()
	e.withinReserve = true
	e.roomFound = make(chan struct{})
	e.counted = make(map[string]int)
	e.mu.Unlock()
	e.setLostUntil(e.Clock.Now().Add(e.LostConnectionTimeout))
	e.logStart("Start within the connection reserve begins.")
}

// awaitFullSize waits until the share may have its full size. It returns false if ctx ends first.
func (e *EqualShare) awaitFullSize(ctx context.Context) bool {
	timer := e.Clock.NewTimer(e.LostConnectionTimeout)
	defer timer.Stop()
	e.mu.Lock()
	within, roomFound := e.withinReserve, e.roomFound
	e.mu.Unlock()
	outcome := startTimedOut
	select {
	case <-ctx.Done():
		outcome = startStopped
	case <-roomFound:
		outcome = startFoundRoom
	case <-timer.C:
	}
	if within {
		e.endWithinReserve(outcome)
	}
	return outcome != startStopped
}

func (e *EqualShare) endWithinReserve(outcome string) {
	e.mu.Lock()
	e.withinReserve = false
	e.mu.Unlock()
	e.setLostUntil(time.Time{})
	e.Metrics.countStart(e.Group, outcome)
	e.logStart("Start within the connection reserve ended.", "cause", outcome)
}

// ObserveConnections records how many connections a member counts. A start within the reserve ends
// once every member has room for the full share outside the reserve.
func (e *EqualShare) ObserveConnections(member string, open int) {
	e.mu.Lock()
	a, within := e.allocation, e.withinReserve
	e.mu.Unlock()
	if !within {
		return
	}
	if open <= 0 {
		// The report was sent on a connection that the member counts.
		e.Metrics.countInvalidReport(e.Group)
		e.logStart("Member reported an invalid number of connections.", "member", member, "connections", open)
		return
	}
	reserve := e.reserveOf(a)
	growth := e.fullSize(a, reserve) + e.ControlPerMember - reserve.PerHome
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counted[member] = open
	if !e.withinReserve || len(e.counted) < a.Members {
		return
	}
	for _, n := range e.counted {
		if !reserve.hasRoom(a.PerMember, n, growth) {
			return
		}
	}
	e.withinReserve = false
	close(e.roomFound)
}

func (e *EqualShare) setLostUntil(t time.Time) {
	if e.SetLostUntil != nil {
		e.SetLostUntil(t)
	}
}

func (e *EqualShare) logStart(message string, fields ...any) {
	if e.Logger != nil {
		e.Logger.Named("shares").Info(message, append([]any{"group", e.Group}, fields...)...)
	}
}
