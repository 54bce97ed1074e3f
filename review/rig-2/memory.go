//go:build reviewrig

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memorySessions is the number of open sessions of the sheet of ligasul-pool.
	memorySessions = 292
	// sheetMachines is its number of machines, and lastMachines how many of them are left.
	sheetMachines, lastMachines = 8, 2
	// messageSize is the size of one WRITE, with its line ending: the largest that is allowed.
	messageSize = 1 << 20
	// allowedEnds is how often processes of a machine may end by themselves in a day.
	allowedEnds = 2
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// sampleInterval is the interval at which the platform looks at a process's memory.
	sampleInterval = 20 * time.Millisecond
	// bursts is how often all sessions send at the same moment, and burstInterval the time between
	// two such moments. The members keep what they commit, so there are few of them.
	bursts        = 10
	burstInterval = 6 * time.Second
)

// memoryOf returns the present and the highest resident memory of a process, in megabytes.
func memoryOf(pid int) (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kb / 1024
		case "VmHWM:":
			peak = kb / 1024
		}
	}
	return now, peak
}

// platformGuard kills a process that exceeds its memory and starts it again, as the platform does.
type platformGuard struct {
	system *system
	// ends counts, by machine, the processes that exceeded their memory.
	mu   sync.Mutex
	ends map[string]int
	done atomic.Bool
	wg   sync.WaitGroup
}

func (g *platformGuard) watch(p *instanceProcess) {
	g.wg.Go(func() {
		for !g.done.Load() {
			time.Sleep(sampleInterval)
			now, _ := memoryOf(p.command.Process.Pid)
			if now <= memoryMB {
				continue
			}
			g.system.record.printf("%s uses %d MB, more than %d MB, and is killed", p.name, now, memoryMB)
			p.signal(syscall.SIGKILL)
			<-p.exited
			g.mu.Lock()
			g.ends[p.name]++
			g.mu.Unlock()
			time.Sleep(restartDelay)
			if err := g.system.startInstance(p); err != nil {
				g.system.record.printf("%s was not started again: %v", p.name, err)
				return
			}
		}
	})
}

// runMemory has the sheet's sessions send messages of the largest size. With trouble, all machines
// but two are lost first.
func runMemory(r *record, trouble bool) error {
	machineZones := []string{"poa-a", "poa-a", "poa-a", "poa-a", "poa-b", "poa-b", "fln-c", "fln-c"}
	s, err := startSystem(r, machineZones)
	defer s.close()
	if err != nil {
		return err
	}
	remaining := s.instances
	if trouble {
		for _, p := range s.instances[lastMachines:] {
			r.printf("%s is removed for good (SIGKILL)", p.name)
			p.signal(syscall.SIGKILL)
			<-p.exited
		}
		remaining = s.instances[:lastMachines]
		time.Sleep(10 * time.Second)
	}
	g := &platformGuard{system: s, ends: make(map[string]int)}
	for _, p := range remaining {
		g.watch(p)
	}
	var outcomes outcomeCounts
	sendLargeWrites(remaining, &outcomes)
	g.done.Store(true)
	g.wg.Wait()
	outcomes.record(r)
	machines := 0
	for name, ends := range g.ends {
		r.printf("%s: %d processes ended for their memory", name, ends)
		if ends > allowedEnds {
			machines++
		}
	}
	for _, p := range remaining {
		now, peak := memoryOf(p.command.Process.Pid)
		r.printf("%s uses %d MB, at its peak since its start %d MB", p.name, now, peak)
	}
	s.recordRuns("m")
	if machines >= 2 && machines*10 >= len(remaining) {
		return fmt.Errorf("%w: processes of %d of %d machines ended three times or more because they exceeded %d MB", errBroken, machines, len(remaining), memoryMB)
	}
	return nil
}

// outcomeCounts counts how operations ended.
type outcomeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *outcomeCounts) add(kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]int)
	}
	o.counts[kind]++
}

func (o *outcomeCounts) record(r *record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for kind, n := range o.counts {
		r.printf("operations that ended with %q: %d", kind, n)
	}
}

// sendLargeWrites lets each session write one message of the largest size in each burst.
func sendLargeWrites(machines []*instanceProcess, outcomes *outcomeCounts) {
	for n := range bursts {
		next := time.Now().Add(burstInterval)
		var wg sync.WaitGroup
		for i := range memorySessions {
			wg.Go(func() { outcomes.add(writeLarge(machines[i%len(machines)].front, fmt.Sprintf("m%d.%d", i, n))) })
		}
		wg.Wait()
		time.Sleep(time.Until(next))
	}
}

func writeLarge(address, id string) string {
	c, err := openSession(address, "pedido-ligacao")
	if err != nil {
		return "no session: " + errorKind(err)
	}
	defer c.close()
	statement := "WRITE " + id + " "
	data := strings.Repeat("x", messageSize-len("QUERY "+id+" "+statement+"\r\n"))
	a, err := c.do(id, statement+data, 2*time.Second)
	switch {
	case err != nil:
		return "no answer: " + errorKind(err)
	case a.code != "":
		return a.code
	default:
		return "success"
	}
}
