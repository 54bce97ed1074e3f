// Package linedemo runs the whole system over the line protocol in one process, on
// loopback addresses: the platform's store with its appointments, one group of three
// members, an instance in each of three failure domains, and callers. Half way the
// primary's process is killed; at the end every acknowledged write is looked for.
package linedemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	duration = 10 * time.Second
	sessions = 24
	// think is a caller's pause between two writes.
	think = 20 * time.Millisecond
	// warmUp is how long the instances have to learn what they serve.
	warmUp = 2 * time.Second
)

// Run runs the demo and tells on out what happens.
func Run(ctx context.Context, seed uint64, out, logs io.Writer) (*Report, error) {
	s, err := startSystem(seed, logs)
	defer s.close()
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "Started the platform, a group of %d members and %d instances in %d failure domains; all speak the line protocol.\n",
		len(domains), len(domains), len(domains))
	wait(ctx, warmUp)
	fmt.Fprintf(out, "%d callers begin. Each writes, reads its own writes, and reads them fresh at another instance.\n", sessions)
	r := &Report{}
	load, stop := context.WithCancel(ctx)
	defer stop()
	callers := make([]*caller, sessions)
	var running sync.WaitGroup
	for i := range callers {
		callers[i] = &caller{system: s, report: r, number: i, home: i % len(domains)}
		running.Go(func() { callers[i].run(load) })
	}
	wait(ctx, duration/2)
	killed := time.Now()
	s.nodes[0].Kill()
	fmt.Fprintln(out, "The primary's process is killed.")
	wait(ctx, duration/2)
	stop()
	running.Wait()
	r.GapMS = r.firstWriteAfter(killed).Milliseconds()
	fmt.Fprintln(out, "The callers have ended; now every acknowledged write is looked for.")
	for _, c := range callers {
		c.lookForAll(ctx)
	}
	return r, ctx.Err()
}

// wait returns after d, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
