package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// trafficPrefix begins the ids of the usual traffic, whose statements are counted and not recorded
// one by one.
const trafficPrefix = "7a"

// trafficPause is the pause between two statements of a session.
const trafficPause = 20 * time.Millisecond

// traffic is the usual traffic: one session for each service at each instance, which reads and
// writes.
type traffic struct {
	rig            *rig
	stop           chan struct{}
	sessions       sync.WaitGroup
	count          atomic.Uint64
	served, failed atomic.Int64
	// resting means that no statement is sent.
	resting atomic.Bool
}

// startTraffic opens sessions at all instances.
func (r *rig) startTraffic() *traffic {
	return r.startTrafficAt(func(*instance) bool { return true })
}

// startTrafficAt opens sessions at some of the instances.
func (r *rig) startTrafficAt(selected func(i *instance) bool) *traffic {
	t := &traffic{rig: r, stop: make(chan struct{})}
	for n, i := range r.instances {
		if !selected(i) {
			continue
		}
		for k := range r.groups {
			t.sessions.Go(func() { t.run(n, i, database(dbPrimary, k)) })
		}
	}
	return t
}

func (t *traffic) run(n int, i *instance, db string) {
	for !t.ended() {
		q, err := connect(nil, fmt.Sprintf("traffic-%d", n), i.front(), db)
		for err == nil && !t.ended() {
			if t.resting.Load() {
				time.Sleep(trafficPause)
				continue
			}
			text := fmt.Sprintf("READ t%d", n)
			if t.count.Load()%4 == 0 {
				text = fmt.Sprintf("WRITE t%d %d", n, t.count.Load())
			}
			var a reply
			a, err = q.send(fmt.Sprintf("%s%014x", trafficPrefix, t.count.Add(1)), text)
			if err == nil && !a.isErr {
				t.served.Add(1)
			} else {
				t.failed.Add(1)
			}
			time.Sleep(trafficPause)
		}
		if q != nil {
			q.close()
		}
		time.Sleep(trafficPause)
	}
}

func (t *traffic) ended() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// end ends the traffic and notes how much of it was served.
func (t *traffic) end() {
	close(t.stop)
	t.sessions.Wait()
	t.rig.add("traffic", "%d statements were served, %d were not", t.served.Load(), t.failed.Load())
}
