// Package linedemo runs the whole system over the line protocol in one process, on
// loopback addresses: the platform with its promotion endpoint, one group of three
// members, one instance in each of three failure domains, and callers. Halfway through,
// the primary is killed; at the end each caller checks for its last acknowledged write.
package linedemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	loadDuration = 10 * time.Second
	callerCount  = 24
	// thinkTime is a caller's pause between iterations.
	thinkTime = 20 * time.Millisecond
	// warmUp is the time for the instances to load their configuration before the load
	// starts.
	warmUp = 2 * time.Second
)

// Run runs the demo and prints its progress to out.
func Run(ctx context.Context, seed uint64, out, logs io.Writer) (*Report, error) {
	s, err := startSystem(seed, logs)
	defer s.close()
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "Started the platform, a group of %d members and %d instances in %d failure domains; all speak the line protocol.\n",
		len(failureDomains), len(failureDomains), len(failureDomains))
	sleep(ctx, warmUp)
	fmt.Fprintf(out, "%d callers begin. Each writes, reads its own writes, and reads them fresh at another instance.\n", callerCount)
	r := &Report{}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	callers := make([]*caller, callerCount)
	var running sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{system: s, report: r, number: i, homeInstance: i % len(failureDomains)}
		running.Go(func() { callers[i].run(loadCtx) })
	}
	sleep(ctx, loadDuration/2)
	killed := time.Now()
	s.nodes[0].Kill()
	fmt.Fprintln(out, "The primary's process is killed.")
	sleep(ctx, loadDuration/2)
	stopLoad()
	running.Wait()
	r.GapMS = r.gapAfter(killed).Milliseconds()
	fmt.Fprintln(out, "The callers have ended; now every acknowledged write is looked for.")
	for _, c := range callers {
		c.verifyLastWrite(ctx)
	}
	return r, ctx.Err()
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
