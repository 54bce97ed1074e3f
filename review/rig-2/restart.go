//go:build reviewrig

package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	// smallRecovery is RecoveryS of ligasul-pool.
	smallRecovery = 12 * time.Second
	// firstFailover is how long the first failover and the return of the old primary may take.
	firstFailover = 5 * time.Second
	// recoveryProbes is the number of requests before and after the final fault.
	recoveryProbes = 30
)

// runRestart replaces a primary once, which is the first change of the term. Later the new primary
// crashes, and all processes of the system are killed at the same moment and start again.
func runRestart(r *record, trouble bool) error {
	s, err := startSystem(r, zones)
	defer s.close()
	if err != nil {
		return err
	}
	r.printf("primary %s crashes for the first time; it holds %s", memberID(0), s.positions())
	s.crashMember(0)
	time.Sleep(firstFailover)
	if err := s.returnMember(0); err != nil {
		return err
	}
	r.printf("%s is back; %s", memberID(0), s.roles())
	time.Sleep(firstFailover)
	if before := servedByAll(r, s, "before"); before < 0.25 {
		return fmt.Errorf("only %.2f of the requests are served before the final fault", before)
	}
	primary := s.primaryIndex()
	if trouble {
		if os.Getenv("PRIMARY_STAYS") != "1" {
			r.printf("primary %s crashes and stays down", memberID(primary))
			s.crashMember(primary)
		}
		if os.Getenv("INSTANCES_STAY") != "1" {
			s.killAll()
		}
	}
	time.Sleep(smallRecovery + time.Second)
	r.printf("%s after the machines are back: %s", smallRecovery, s.roles())
	after := servedByAll(r, s, "after")
	s.recordLogs("Term claimed.", 1)
	s.recordLogs("Failover attempt for the claimed term was abandoned.", 1)
	s.recordRuns("before")
	s.recordRuns("after")
	if after < 0.25 {
		return fmt.Errorf("%w: %.2f of the requests that were sent later than %s after the machines were back are served", errBroken, after, smallRecovery)
	}
	return nil
}

// killAll kills all instances at the same moment and starts them again.
func (s *system) killAll() {
	s.record.printf("all processes of the system are killed")
	for _, p := range s.instances {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.instances {
		<-p.exited
	}
	time.Sleep(restartDelay)
	for _, p := range s.instances {
		if err := s.startInstance(p); err != nil {
			s.record.printf("%s was not started again: %v", p.name, err)
		}
	}
}

// primaryIndex returns the member that the platform promoted last.
func (s *system) primaryIndex() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.nodes {
		if memberID(i) == s.primaryID {
			return i
		}
	}
	return 0
}

// roles describes the members.
func (s *system) roles() string {
	text := ""
	for i, n := range s.nodes {
		if !n.Running() {
			text += fmt.Sprintf("%s is down; ", memberID(i))
			continue
		}
		st := n.Status()
		text += fmt.Sprintf("%s is %s in term %d at %d.%d; ", memberID(i), st.Role, st.EnteredTerm, st.LastRecord.Term, st.LastRecord.Position)
	}
	return text
}

// servedByAll sends requests to all instances in turn, each tried again until its time budget ends, and
// returns the share that is served.
func servedByAll(r *record, s *system, label string) float64 {
	served := 0
	for i := range recoveryProbes {
		id := fmt.Sprintf("%s%04d", label, i)
		started := time.Now()
		var err error
		for attempt := 0; attempt < 3 && time.Since(started) < 2*time.Second; attempt++ {
			p := s.instances[(i+attempt)%len(s.instances)]
			if err = singleOperation(p.front, fmt.Sprintf("%s.%d", id, attempt)); err == nil {
				break
			}
			r.printf("request %s.%d to %s: %v", id, attempt, p.name, err)
			time.Sleep(50 * time.Millisecond)
		}
		if err == nil {
			served++
			r.printf("request %s: served after %d ms", id, time.Since(started).Milliseconds())
		}
	}
	return float64(served) / recoveryProbes
}
