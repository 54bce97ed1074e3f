//go:build reviewrig

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// laggingBy is 150 times the usual lag of 8 ms, for one replica, over lagDuration.
	laggingBy   = 1200 * time.Millisecond
	lagDuration = 7 * time.Second
	// crashAfter is when the primary crashes, counted from the begin of the lag.
	crashAfter = 2 * time.Second
	// observedFor is how long requesters read and write after the begin of the lag.
	observedFor = 10 * time.Second
	// readers is the number of sessions that read.
	readers = 12
	// routeStalenessMs is the MaxStalenessMs of the other routes of the manifest.
	routeStalenessMs = 1500
)

// runStaleness lets one replica fall behind and the primary crash meanwhile, while requesters read
// through a route of type primary.
func runStaleness(r *record, trouble bool) error {
	s, err := startSystem(r, zones, func(s *system) { s.primaryStalenessMs = routeStalenessMs })
	defer s.close()
	if err != nil {
		return err
	}
	o := &observer{record: r, system: s}
	end := time.Now().Add(observedFor + 3*time.Second)
	var requesters sync.WaitGroup
	requesters.Go(func() { o.write(end) })
	for i := range readers {
		requesters.Go(func() { o.read(i, end) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		r.printf("replica %s is %s behind", memberID(2), laggingBy)
		s.nodes[2].SetReplicationLag(laggingBy)
		time.AfterFunc(lagDuration, func() { s.nodes[2].SetReplicationLag(replicationLag) })
		time.Sleep(crashAfter)
		r.printf("primary %s crashes; it holds %s", memberID(0), s.positions())
		s.crashMember(0)
	}
	requesters.Wait()
	r.printf("writes acknowledged: %d, reads served: %d, reads that lacked an acknowledged commit: %d", o.acknowledged.Load(), o.served.Load(), o.stale.Load())
	switch {
	case o.acknowledged.Load() == 0 || o.served.Load() == 0:
		return fmt.Errorf("no write or read was served")
	case o.stale.Load() > 0:
		return fmt.Errorf("%w: %d of %d reads on a primary route lacked a commit that had been acknowledged before", errBroken, o.stale.Load(), o.served.Load())
	}
	return nil
}

// positions returns the end of each member's log.
func (s *system) positions() string {
	var all []string
	for i, n := range s.nodes {
		m := n.Status().LastRecord
		all = append(all, fmt.Sprintf("%s %d.%d", memberID(i), m.Term, m.Position))
	}
	return strings.Join(all, ", ")
}

// observer writes increasing numbers to one item and compares what reads return with the last number
// that was acknowledged before they were sent.
type observer struct {
	record *record
	system *system
	// last is the last number that was acknowledged.
	last                        atomic.Int64
	acknowledged, served, stale atomic.Int64
}

const observedItem = "counter"

func (o *observer) write(end time.Time) {
	var c *requester
	for n := int64(1); time.Now().Before(end); n++ {
		if c = o.session(c, 0); c != nil {
			id := fmt.Sprintf("w%d", n)
			a, err := c.do(id, fmt.Sprintf("WRITE %s %d", observedItem, n), 2*time.Second)
			switch {
			case err != nil:
				o.record.printf("%s: %s", id, errorKind(err))
				c.close()
				c = nil
			case a.code != "":
				o.record.printf("%s: %s", id, a.code)
			default:
				o.last.Store(n)
				o.acknowledged.Add(1)
				o.record.printf("%s: acknowledged", id)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (o *observer) read(number int, end time.Time) {
	var c *requester
	for n := 0; time.Now().Before(end); n++ {
		if c = o.session(c, number%len(o.system.instances)); c != nil {
			before := o.last.Load()
			id := fmt.Sprintf("r%d.%d", number, n)
			a, err := c.do(id, "READ "+observedItem, 2*time.Second)
			if err != nil {
				c.close()
				c = nil
			} else if a.code == "" {
				o.check(id, a.row, before)
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// check compares the row of a read with the number that was acknowledged before it was sent.
func (o *observer) check(id, row string, before int64) {
	o.served.Add(1)
	value, _ := strconv.ParseInt(strings.TrimPrefix(row, "v="), 10, 64)
	if value >= before {
		return
	}
	o.stale.Add(1)
	o.record.printf("%s: read %d, but %d was acknowledged before it was sent; run by %s", id, value, before, o.runBy(id))
}

// runBy returns the members that ran a statement.
func (o *observer) runBy(id string) string {
	var found []string
	for i, n := range o.system.nodes {
		for _, e := range n.ExecutedStatements() {
			if e.ID == id {
				found = append(found, memberID(i)+" as "+e.Role)
			}
		}
	}
	return strings.Join(found, ", ")
}

// session returns c, or a new session at an instance if c is nil.
func (o *observer) session(c *requester, instance int) *requester {
	if c != nil {
		return c
	}
	c, err := openSession(o.system.instances[instance].front, "pedido-ligacao")
	if err != nil {
		return nil
	}
	return c
}
