package quota

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

const (
	// leaseLength is how long a share is delegated. Whoever loses its limiter waits so long
	// before it may delegate its share anew.
	leaseLength = time.Second
	// aheadLife is how long a token may be held for an operation to come, by the clock of the
	// holder from the sending of its request.
	aheadLife = 2 * time.Second
)

// Workspaces finds the limits in force.
type Workspaces interface {
	Workspaces() *workspace.Table
}

// Limiter hands out the tokens of the shares that are delegated to it. It does no I/O.
type Limiter struct {
	process    string
	startedAt  time.Time
	tolerance  Tolerance
	workspaces Workspaces

	mu      sync.Mutex
	leases  map[string]*delegated
	buckets map[string]*bucket
	held    map[string]map[string]heldAhead
	// opened are the shards for which each holder's first lease was counted.
	opened map[string]*[shardCount]bool
}

// NewLimiter returns a limiter to which nothing is delegated. process names this process among
// those of the instance.
func NewLimiter(process string, startedAt time.Time, t Tolerance, w Workspaces) *Limiter {
	return &Limiter{
		process: process, startedAt: startedAt, tolerance: t, workspaces: w,
		leases:  make(map[string]*delegated),
		buckets: make(map[string]*bucket),
		held:    make(map[string]map[string]heldAhead),
		opened:  make(map[string]*[shardCount]bool),
	}
}

// clock is the limiter's own clock, in microseconds. It goes on while the process is paused.
func (l *Limiter) clock(now time.Time) int64 { return now.Sub(l.startedAt).Microseconds() }

// serve answers a request that arrived now.
func (l *Limiter) serve(r request, now time.Time) response {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if d := l.leases[r.Holder]; d != nil && d.process != r.Process {
		// The process that delegated it is gone.
		delete(l.leases, r.Holder)
	}
	if r.Lease != nil {
		l.delegate(r.Holder, r.Process, *r.Lease, now)
	}
	table := l.workspaces.Workspaces()
	l.noteHeld(r, now)
	answer := response{Process: l.process, Clock: l.clock(now)}
	for name, n := range r.Returned {
		if w, ok := table.Named(name); ok {
			l.bucket(w, now).add(float64(n), l.size(w))
		}
	}
	for name, n := range r.Now {
		w, ok := table.Named(name)
		if !ok {
			continue
		}
		b := l.bucket(w, now)
		taken := b.take(n)
		put(&answer.Now, name, taken)
		if taken < n {
			put(&answer.ReturnMS, name, b.refuse(n-taken, now, l.size(w)).Milliseconds())
		}
	}
	for name, n := range r.Ahead {
		if w, ok := table.Named(name); ok {
			put(&answer.Ahead, name, l.giveAhead(r.Holder, w, n, now))
		}
	}
	return answer
}

// put sets a count that is not zero.
func put[N int | int64](counts *map[string]N, name string, n N) {
	if n == 0 {
		return
	}
	if *counts == nil {
		*counts = make(map[string]N)
	}
	(*counts)[name] = n
}

// bucket returns the bucket of a workspace, up to date.
func (l *Limiter) bucket(w workspace.Workspace, now time.Time) *bucket {
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{}
		l.buckets[w.Name] = b
	}
	b.gain(now, l.size(w))
	return b
}

// size is the size of a workspace's bucket by the leases that stand.
func (l *Limiter) size(w workspace.Workspace) size {
	return sizeOf(l.partOf(w.Name), w.Limit, l.tolerance)
}

// partOf is the part of a workspace's limit that is delegated.
func (l *Limiter) partOf(name string) float64 {
	shard := shardOf(name)
	part := 0.0
	for _, d := range l.leases {
		if d.shards[shard] {
			part += d.part
		}
	}
	return part
}
