//go:build reviewrig

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/logpos"
)

const (
	// drainTime is DrainMs of the sheet and a little longer.
	drainTime = 7200 * time.Millisecond
	// drainGap is the time between two replaced members.
	drainGap = time.Second
	// deafBefore is how long before the first old replica leaves the new ones stop receiving, and
	// deafFor is how long they receive nothing: too short for the primary to be replaced for it.
	deafBefore = 1700 * time.Millisecond
	deafFor    = 4700 * time.Millisecond
	// caughtUpAfter is when the new replicas have what they lacked, once they receive again.
	caughtUpAfter = 100 * time.Millisecond
	// boundedStaleness is the MaxStalenessMs of the route that is read.
	boundedStaleness = 1500 * time.Millisecond
)

// acknowledgement is a write that was acknowledged.
type acknowledgement struct {
	number int64
	at     time.Time
}

// ageObserver writes increasing numbers through the primary route and reads them through the
// bounded_staleness route.
type ageObserver struct {
	record *record
	system *system
	mu     sync.Mutex
	acked  []acknowledgement
	served atomic.Int64
	stale  atomic.Int64
}

// requiredAt returns the highest number that a read sent at a time must see.
func (o *ageObserver) requiredAt(sent time.Time) acknowledgement {
	o.mu.Lock()
	defer o.mu.Unlock()
	var required acknowledgement
	for _, a := range o.acked {
		if sent.Sub(a.at) > boundedStaleness {
			required = a
		}
	}
	return required
}

func (o *ageObserver) write(end time.Time) {
	var c *requester
	for n := int64(1); time.Now().Before(end); n++ {
		if c = openIfNeeded(o.system, c, 0, "pedido-ligacao"); c != nil {
			a, err := c.do(fmt.Sprintf("w%d", n), fmt.Sprintf("WRITE %s %d", observedItem, n), 2*time.Second)
			switch {
			case err != nil:
				c.close()
				c = nil
			case a.code == "":
				o.mu.Lock()
				o.acked = append(o.acked, acknowledgement{n, time.Now()})
				o.mu.Unlock()
				o.record.printf("w%d: acknowledged", n)
			default:
				o.record.printf("w%d: %s", n, a.code)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (o *ageObserver) read(number int, end time.Time) {
	var c *requester
	for n := 0; time.Now().Before(end); n++ {
		if c = openIfNeeded(o.system, c, number%len(o.system.instances), "consulta-vistoria"); c != nil {
			sent := time.Now()
			id := fmt.Sprintf("r%d.%d", number, n)
			a, err := c.do(id, "READ "+observedItem, 4*time.Second)
			if err != nil {
				c.close()
				c = nil
			} else if a.code == "" {
				o.check(id, a.row, sent)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (o *ageObserver) check(id, row string, sent time.Time) {
	o.served.Add(1)
	value, _ := strconv.ParseInt(strings.TrimPrefix(row, "v="), 10, 64)
	required := o.requiredAt(sent)
	if value >= required.number {
		return
	}
	if o.stale.Add(1) <= 20 {
		o.record.printf("%s: read %d, but %d was acknowledged %d ms before it was sent", id, value, required.number, sent.Sub(required.at).Milliseconds())
	}
}

func openIfNeeded(s *system, c *requester, instance int, database string) *requester {
	if c != nil {
		return c
	}
	c, err := openSession(s.instances[instance].front, database)
	if err != nil {
		return nil
	}
	return c
}

// runReplaced replaces both replicas of a group, one after the other. With trouble, the new ones
// receive nothing for a while, which begins while the old ones still serve.
func runReplaced(r *record, trouble bool) error {
	s, err := startSystem(r, zones)
	defer s.close()
	if err != nil {
		return err
	}
	o := &ageObserver{record: r, system: s}
	// kept means that both new members held all that the primary held, before any promotion: a
	// later promotion rolls none of it back.
	var kept atomic.Bool
	kept.Store(!trouble)
	end := time.Now().Add(2*time.Second + drainTime + 2*drainGap + 5*time.Second)
	var requesters sync.WaitGroup
	requesters.Go(func() { o.write(end) })
	for i := range readers {
		requesters.Go(func() { o.read(i, end) })
	}
	for _, old := range []int{1, 2} {
		if err := s.addMember(s.memberZones[old]); err != nil {
			return err
		}
		s.publishMember(len(s.nodes)-1, false)
		r.printf("%s starts in the zone of %s", memberID(len(s.nodes)-1), memberID(old))
	}
	time.Sleep(2 * time.Second)
	s.drainMember(1, drainTime)
	time.AfterFunc(drainGap, func() { s.drainMember(2, drainTime) })
	time.Sleep(drainTime - deafBefore)
	if trouble {
		r.printf("%s and %s receive nothing for %s", memberID(3), memberID(4), deafFor)
		for _, n := range s.nodes[3:] {
			n.SetReplicationLag(time.Hour)
		}
		time.AfterFunc(deafFor, func() {
			r.printf("they receive again; %s", s.positions())
			for _, n := range s.nodes[3:] {
				n.SetReplicationLag(replicationLag)
			}
			held := s.nodes[0].Status().LastRecord
			time.AfterFunc(caughtUpAfter, func() {
				r.printf("%s later: %s", caughtUpAfter, s.positions())
				kept.Store(!s.promoted() && s.holds(3, held) && s.holds(4, held))
			})
		})
	}
	requesters.Wait()
	time.Sleep(time.Second)
	r.printf("at the end: %s", s.roles())
	last := o.acked[len(o.acked)-1]
	r.printf("writes acknowledged: %d, the last one %d; reads served: %d, stale: %d", len(o.acked), last.number, o.served.Load(), o.stale.Load())
	switch {
	case o.served.Load() == 0:
		return fmt.Errorf("no read was served")
	case !kept.Load():
		return fmt.Errorf("a promotion may have rolled commits back")
	case o.stale.Load() > 0:
		return fmt.Errorf("%w: %d of %d reads on a bounded_staleness route lacked a commit that had been acknowledged more than %s before", errBroken, o.stale.Load(), o.served.Load(), boundedStaleness)
	}
	return nil
}

// promoted reports whether the platform was asked for a promotion.
func (s *system) promoted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term > 1
}

// holds reports whether a member's log has reached a position of the same term.
func (s *system) holds(i int, position logpos.TermPosition) bool {
	return !s.nodes[i].Status().LastRecord.Less(position)
}
