//go:build reviewrig

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// openSessions is the number of sessions that stand open, over two machines: a quarter of those of
	// ligasul-pool-large.
	openSessions = 5000
	// concurrentOpenings is how many sessions are opened at a time.
	concurrentOpenings = 200
	// recoveryTime is RecoveryS of ligasul-pool-large.
	recoveryTime = 15 * time.Second
	// probes is the number of single-operation sessions before and after the loss.
	probes = 16
)

// runDescriptors lets one of two machines go for good, so that all sessions come to the other one,
// which has too few descriptors for them. Later the sessions end, and new requests are measured.
func runDescriptors(r *record, trouble bool) error {
	s, err := startSystem(r, []string{"poa-a", "poa-b"})
	defer s.close()
	if err != nil {
		return err
	}
	a, b := s.instances[0], s.instances[1]
	pool := &sessionPool{record: r}
	pool.open(openSessions, func(i int) string { return s.instances[i%2].front })
	r.printf("sessions open: %d of %d", pool.count(), openSessions)
	if before := servedShare(r, s, []*instanceProcess{a, b}, "before"); before < 0.9 {
		return fmt.Errorf("only %.2f of the requests are served without a disruption", before)
	}
	remaining := []*instanceProcess{a, b}
	if trouble {
		r.printf("%s is removed for good (SIGKILL)", b.name)
		b.signal(syscall.SIGKILL)
		<-b.exited
		remaining = remaining[:1]
	}
	pool.reopenLost(func(int) string { return remaining[0].front })
	r.printf("sessions open after the loss: %d", pool.count())
	for _, p := range remaining {
		now, peak := memoryOf(p.command.Process.Pid)
		r.printf("%s uses %d MB of memory, at its peak %d MB", p.name, now, peak)
	}
	time.Sleep(5 * time.Second)
	pool.closeAll()
	r.printf("all long sessions were closed by their requesters")
	time.Sleep(recoveryTime)
	for _, p := range remaining {
		r.printf("%s runs: %t, ready: %t", p.name, p.running(), p.isReady())
	}
	after := servedShare(r, s, remaining, "after")
	s.recordRuns("before")
	s.recordRuns("after")
	if after < 0.25 {
		return fmt.Errorf("%w: %.2f of the requests that were sent later than %s after the loss are served", errBroken, after, recoveryTime)
	}
	return nil
}

// servedShare sends requests in sessions of their own and returns the share that is served.
func servedShare(r *record, s *system, instances []*instanceProcess, label string) float64 {
	served := 0
	for i := range probes {
		p := instances[i%len(instances)]
		id := fmt.Sprintf("%s%04d", label, i)
		outcome := "served"
		started := time.Now()
		if err := singleOperation(p.front, id); err != nil {
			outcome = err.Error()
		} else {
			served++
		}
		r.printf("request %s to %s: %s after %d ms", id, p.name, outcome, time.Since(started).Milliseconds())
	}
	return float64(served) / probes
}

// singleOperation is a session for one operation: a write within the time budget of 2 s.
func singleOperation(address, id string) error {
	c, err := openSession(address, "pedido-ligacao")
	if err != nil {
		return err
	}
	defer c.close()
	a, err := c.do(id, "WRITE "+id+" v", 2*time.Second)
	if err != nil {
		return err
	}
	if a.code != "" {
		return fmt.Errorf("%s %s", a.code, a.text)
	}
	return nil
}

// sessionPool holds long, idle sessions.
type sessionPool struct {
	record   *record
	mu       sync.Mutex
	sessions []*requester
}

// open opens n sessions.
func (p *sessionPool) open(n int, address func(i int) string) {
	var wg sync.WaitGroup
	limit := make(chan struct{}, concurrentOpenings)
	failed := map[string]int{}
	for i := range n {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			c, err := openSession(address(i), "analise-atendente")
			p.mu.Lock()
			defer p.mu.Unlock()
			if err != nil {
				failed[errorKind(err)]++
				return
			}
			p.sessions = append(p.sessions, c)
		})
	}
	wg.Wait()
	for kind, count := range failed {
		p.record.printf("%d sessions were not opened: %s", count, kind)
	}
}

// reopenLost opens sessions again for those whose connection is gone.
func (p *sessionPool) reopenLost(address func(i int) string) {
	time.Sleep(500 * time.Millisecond)
	p.mu.Lock()
	var alive []*requester
	for _, c := range p.sessions {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Microsecond))
		if _, err := c.in.Peek(1); err != nil && isTimeout(err) {
			alive = append(alive, c)
		} else {
			c.close()
		}
	}
	lost := len(p.sessions) - len(alive)
	p.sessions = alive
	p.mu.Unlock()
	p.record.printf("sessions whose connection was lost: %d", lost)
	p.open(lost, address)
}

func (p *sessionPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

func (p *sessionPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.sessions {
		c.close()
	}
	p.sessions = nil
}
