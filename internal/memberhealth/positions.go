package memberhealth

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/logpos"
)

const (
	// minLagPause is the pause until a replica is tried again for a position that it lacked:
	// about the usual replication lag. It doubles with each further refusal up to maxLagPause,
	// within which a replica that has caught up is used again.
	minLagPause = 25 * time.Millisecond
	maxLagPause = 400 * time.Millisecond
)

// Positions holds what is known of the positions of a group's replicas: the highest that each is
// known to hold, and the lowest that it is known to lack. A read that requires what a replica lacks
// is not sent there, except for single reads with growing pauses.
//
// What is known may be wrong after a replica was rolled back or restarted. It then costs a refused
// read, which corrects it, or a read at another member, until the pause ends.
type Positions struct {
	clock clock.Clock

	mu       sync.Mutex
	replicas map[string]*replicaPosition
}

// replicaPosition is what is known of one replica.
type replicaPosition struct {
	held logpos.TermPosition
	// lacked is the lowest position that the replica is known to lack; zero if there is none.
	lacked  logpos.TermPosition
	retryAt time.Time
	pause   time.Duration
}

// NewPositions returns Positions that know nothing.
func NewPositions(k clock.Clock) *Positions {
	return &Positions{clock: k, replicas: make(map[string]*replicaPosition)}
}

// RecordHeld records a position that a replica holds.
func (p *Positions) RecordHeld(address string, held logpos.TermPosition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replica(address)
	if r.held.Less(held) {
		r.held = held
	}
	if !r.held.Less(r.lacked) {
		r.lacked, r.pause = logpos.TermPosition{}, 0
	}
}

// RecordLacked records that a replica refused a read for lack of a position.
func (p *Positions) RecordLacked(address string, required logpos.TermPosition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replica(address)
	if !r.held.Less(required) {
		// The replica was rolled back or has lost its log.
		r.held = logpos.TermPosition{}
	}
	if r.lacked == (logpos.TermPosition{}) || required.Less(r.lacked) {
		r.lacked = required
	}
	now := p.clock.Now()
	if now.Before(r.retryAt) {
		// Reads that were already under way add no information.
		return
	}
	r.pause = min(max(2*r.pause, minLagPause), maxLagPause)
	r.retryAt = now.Add(r.pause)
}

// Lacks reports whether a read that requires a position must not be sent to a replica now.
func (p *Positions) Lacks(address string, required logpos.TermPosition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replica(address)
	return r.mayLack(required) && p.clock.Now().Before(r.retryAt)
}

// RecordTried records that a read is about to be sent to a replica. If it requires what the replica
// was known to lack, no other such read is sent before the next pause has passed.
func (p *Positions) RecordTried(address string, required logpos.TermPosition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replica(address)
	now := p.clock.Now()
	if !r.mayLack(required) || now.Before(r.retryAt) {
		return
	}
	r.pause = min(max(2*r.pause, minLagPause), maxLagPause)
	r.retryAt = now.Add(r.pause)
}

// mayLack reports whether the replica was known to lack a position.
func (r *replicaPosition) mayLack(required logpos.TermPosition) bool {
	known := r.lacked != (logpos.TermPosition{})
	return known && r.held.Less(required) && !required.Less(r.lacked)
}

func (p *Positions) replica(address string) *replicaPosition {
	r := p.replicas[address]
	if r == nil {
		r = &replicaPosition{}
		p.replicas[address] = r
	}
	return r
}
