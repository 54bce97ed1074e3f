package executor

import (
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/wire"
)

// runningUnit is a unit that a member is executing.
type runningUnit struct {
	conn wire.Conn
	// sentAt is when the unit was sent.
	sentAt time.Time
	// statement is the unit's statement at the member, and repeatable means that it may be sent to
	// another member; endedEarly means that it was interrupted for that.
	statement              *memberhealth.Statement
	repeatable, endedEarly bool
	// cancelled means that the unit was interrupted, or that a cancel request for the connection
	// may be in flight. The connection is not reused.
	cancelled bool
}

// runningUnits is the table of units that are being executed, for cancel requests and for the
// load of each member.
type runningUnits struct {
	mu    sync.Mutex
	units map[string]*runningUnit
	load  map[string]int
	// lastAnswer is when each member last completed a unit.
	lastAnswer map[string]time.Time
	// wake receives a signal when a unit starts while no other is running; it buffers one signal.
	wake chan struct{}
	// closed means that units were interrupted for good and no new one may start.
	closed bool
}

func newRunningUnits() *runningUnits {
	return &runningUnits{units: make(map[string]*runningUnit), load: make(map[string]int), lastAnswer: make(map[string]time.Time),
		wake: make(chan struct{}, 1)}
}

// addUnit registers a unit that is about to be sent. If it returns false, the table is closed and
// the unit must not be sent.
func (r *runningUnits) addUnit(unitID string, c wire.Conn, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.units[unitID] = &runningUnit{conn: c, sentAt: now}
	r.load[c.Address()]++
	if len(r.units) > 1 {
		return true
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return true
}

// addStatement records the statement of a running unit.
func (r *runningUnits) addStatement(unitID string, s *memberhealth.Statement, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.units[unitID]; u != nil {
		u.statement, u.repeatable = s, repeatable
	}
}

// endEarly interrupts up to limit repeatable units whose statements are listed, and returns how
// many it interrupted.
func (r *runningUnits) endEarly(statements []*memberhealth.Statement, limit int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := 0
	for _, u := range r.units {
		if ended >= limit {
			break
		}
		if !u.repeatable || u.cancelled || !slices.Contains(statements, u.statement) {
			continue
		}
		u.cancelled, u.endedEarly = true, true
		_ = u.conn.SetDeadline(pastDeadline)
		ended++
	}
	return ended
}

// endedEarly reports whether a unit was interrupted by endEarly.
func (r *runningUnits) endedEarly(unitID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.units[unitID]
	return u != nil && u.endedEarly
}

// hasUnits reports whether any units are running.
func (r *runningUnits) hasUnits() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.units) > 0
}

// removeUnit removes a unit. A connection that was named in a cancel request is not reused: the
// request may arrive late and would cancel the next caller's statement.
func (r *runningUnits) removeUnit(unitID string, c wire.Conn, now time.Time, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.units[unitID]; u != nil && u.cancelled {
		c.MarkUnusable()
	}
	delete(r.units, unitID)
	r.load[c.Address()]--
	if answered {
		r.lastAnswer[c.Address()] = now
	}
}

// claimCancel returns the connection of a running unit for one cancel request. It returns nil if
// the unit has ended or a cancel request was already claimed.
func (r *runningUnits) claimCancel(unitID string) wire.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.units[unitID]
	if u == nil || u.cancelled {
		return nil
	}
	u.cancelled = true
	return u.conn
}

// interruptMember aborts the reads and writes of all units at a member.
func (r *runningUnits) interruptMember(address string) {
	r.interruptWhere(func(u *runningUnit) bool { return u.conn.Address() == address })
}

// closeAndInterrupt interrupts all units for good. A unit that has a connection but was not yet
// sent is no longer sent: it would still run at a member after its caller's connection is closed.
func (r *runningUnits) closeAndInterrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.interruptWhereLocked(func(*runningUnit) bool { return true })
}

// interruptWhere aborts the reads and writes of the units that match.
func (r *runningUnits) interruptWhere(matches func(*runningUnit) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interruptWhereLocked(matches)
}

// interruptWhereLocked is interruptWhere without locking; r.mu must be held. Interrupted units
// discard their connections, and the lock prevents a connection from being reused before that.
func (r *runningUnits) interruptWhereLocked(matches func(*runningUnit) bool) {
	for _, u := range r.units {
		if matches(u) {
			u.cancelled = true
			_ = u.conn.SetDeadline(pastDeadline)
		}
	}
}

func (r *runningUnits) loadOf(address string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load[address]
}

// silentMembers returns the members that have completed no unit since cutoff and have a running
// unit that was sent before it.
func (r *runningUnits) silentMembers(cutoff time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	seen := make(map[string]bool)
	for _, u := range r.units {
		address := u.conn.Address()
		if !seen[address] && u.sentAt.Before(cutoff) && r.lastAnswer[address].Before(cutoff) {
			seen[address] = true
			found = append(found, address)
		}
	}
	return found
}
