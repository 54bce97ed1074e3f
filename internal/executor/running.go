package executor

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/wire"
)

// runningUnit is a unit that a member is working on.
type runningUnit struct {
	conn wire.Conn
	// since is when the unit was sent.
	since time.Time
	// cancelled says that a cancel request may be under way to the connection.
	cancelled bool
}

// running is the table of units at work, for cancel requests and for the load
// of each member.
type running struct {
	mu    sync.Mutex
	units map[string]*runningUnit
	load  map[string]int
	// heard is when a member last ended a unit.
	heard map[string]time.Time
	// busy has room for one signal that the first unit is at work.
	busy chan struct{}
	// over says that units were ended for good and none begins any more.
	over bool
}

func newRunning() *running {
	return &running{units: make(map[string]*runningUnit), load: make(map[string]int), heard: make(map[string]time.Time),
		busy: make(chan struct{}, 1)}
}

// start notes a unit that is about to be sent. It returns false, and the unit must not be sent,
// when units were ended for good.
func (r *running) start(unitID string, c wire.Conn, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	r.units[unitID] = &runningUnit{conn: c, since: now}
	r.load[c.Address()]++
	if len(r.units) > 1 {
		return true
	}
	select {
	case r.busy <- struct{}{}:
	default:
	}
	return true
}

// any reports whether units are at work.
func (r *running) any() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.units) > 0
}

// stop ends a unit. A connection that a cancel request names is spoiled: the
// request may arrive late and would stop the next caller's statement.
func (r *running) stop(unitID string, c wire.Conn, now time.Time, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.units[unitID]; u != nil && u.cancelled {
		c.Spoil()
	}
	delete(r.units, unitID)
	r.load[c.Address()]--
	if answered {
		r.heard[c.Address()] = now
	}
}

// claimCancel returns the connection of a unit that is still at work, for one
// cancel request.
func (r *running) claimCancel(unitID string) wire.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.units[unitID]
	if u == nil || u.cancelled {
		return nil
	}
	u.cancelled = true
	return u.conn
}

// interrupt ends the reads and writes of every unit at a member.
func (r *running) interrupt(address string) {
	r.interruptAll(func(u *runningUnit) bool { return u.conn.Address() == address })
}

// end ends all units for good. One that has a connection and was not sent yet is not sent: it
// would be at a member when its caller's connection is closed.
func (r *running) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	r.interruptMatching(func(*runningUnit) bool { return true })
}

// interruptAll ends the reads and writes of the units that match.
func (r *running) interruptAll(matches func(*runningUnit) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interruptMatching(matches)
}

// interruptMatching is interruptAll for a caller that holds r.mu. The units spoil their
// connections, and the lock keeps one from being handed on before.
func (r *running) interruptMatching(matches func(*runningUnit) bool) {
	for _, u := range r.units {
		if matches(u) {
			u.cancelled = true
			_ = u.conn.SetDeadline(pastDeadline)
		}
	}
}

func (r *running) at(address string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load[address]
}

// silent returns the members that have ended no unit since a moment, and have one
// that was sent before it.
func (r *running) silent(since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	seen := make(map[string]bool)
	for _, u := range r.units {
		address := u.conn.Address()
		if !seen[address] && u.since.Before(since) && r.heard[address].Before(since) {
			seen[address] = true
			found = append(found, address)
		}
	}
	return found
}
