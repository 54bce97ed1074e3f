package quota

import (
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

const (
	// leaseDuration is how long a share is delegated. An instance whose limiter fails waits
	// this long before it may delegate its share again.
	leaseDuration = time.Second
	// prefetchLifetime is how long a prefetched token may be held, by the clock of the instance
	// that holds it, from when it sent the request.
	prefetchLifetime = 2 * time.Second
)

// Workspaces provides the limits in force.
type Workspaces interface {
	Workspaces() *workspace.Table
}

// Limiter grants the tokens of the shares that are delegated to it. It does no I/O.
type Limiter struct {
	process    string
	startedAt  time.Time
	tolerance  Tolerance
	workspaces Workspaces
	// ranked reports whether more urgent operations get tokens first; nil if they never do.
	ranked func() bool

	mu                   sync.Mutex
	sharesByInstance     map[string]*delegatedShare
	bucketsByWorkspace   map[string]*bucket
	prefetchedByInstance map[string]map[string]prefetchedTokens
	// initialized marks, by instance, the shards whose initial tokens have been granted.
	initialized map[string]*[shardCount]bool
}

// NewLimiter returns a limiter without delegated shares. process identifies this process among
// those of the instance.
func NewLimiter(process string, startedAt time.Time, t Tolerance, w Workspaces) *Limiter {
	return &Limiter{
		process: process, startedAt: startedAt, tolerance: t, workspaces: w,
		sharesByInstance:     make(map[string]*delegatedShare),
		bucketsByWorkspace:   make(map[string]*bucket),
		prefetchedByInstance: make(map[string]map[string]prefetchedTokens),
		initialized:          make(map[string]*[shardCount]bool),
	}
}

// clockMicros returns the limiter's own clock, in microseconds since its start. It also
// advances while the process is paused.
func (l *Limiter) clockMicros(now time.Time) int64 { return now.Sub(l.startedAt).Microseconds() }

// handleRequest answers a request that arrived at now.
func (l *Limiter) handleRequest(r request, now time.Time) response {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpiredLeases(now)
	if d := l.sharesByInstance[r.Instance]; d != nil && d.process != r.Process {
		// The instance has restarted: the lease of its earlier process is void.
		delete(l.sharesByInstance, r.Instance)
	}
	if r.Lease != nil {
		l.acceptLease(r.Instance, r.Process, *r.Lease, now)
	}
	table := l.workspaces.Workspaces()
	l.recordPrefetched(r, now)
	answer := response{Process: l.process, Clock: l.clockMicros(now)}
	for name, n := range r.Returned {
		if w, ok := table.ByName(name); ok {
			l.refilledBucket(w, now).addTokens(float64(n), l.bucketSize(w))
		}
	}
	for name, n := range r.Waiting {
		w, ok := table.ByName(name)
		if !ok {
			continue
		}
		if l.usesRanks() {
			counts, valid := divideByRank(n, r.WaitingByRank[name], unstatedRank)
			answer.invalidRanks = answer.invalidRanks || !valid
			l.grantRankedTokens(&answer, w, counts, now)
			continue
		}
		b := l.refilledBucket(w, now)
		taken := b.takeTokens(n)
		setCount(&answer.Granted, name, taken)
		if taken < n {
			setCount(&answer.RetryAfterMS, name, b.reserveRetry(n-taken, now, l.bucketSize(w)).Milliseconds())
		}
	}
	for name, n := range r.Prefetch {
		w, ok := table.ByName(name)
		switch {
		case !ok:
		case l.usesRanks():
			counts, valid := divideByRank(n, r.PrefetchByRank[name], unstatedRank)
			answer.invalidRanks = answer.invalidRanks || !valid
			l.grantRankedPrefetch(&answer, r.Instance, w, counts, now)
		default:
			setCount(&answer.PrefetchGranted, name, l.grantPrefetch(r.Instance, w, n, now))
		}
	}
	return answer
}

// setCount sets a count unless it is zero.
func setCount[N int | int64](counts *map[string]N, name string, n N) {
	if n == 0 {
		return
	}
	if *counts == nil {
		*counts = make(map[string]N)
	}
	(*counts)[name] = n
}

// refilledBucket returns the bucket of a workspace, refilled up to now.
func (l *Limiter) refilledBucket(w workspace.Workspace, now time.Time) *bucket {
	b := l.bucketsByWorkspace[w.Name]
	if b == nil {
		b = &bucket{}
		l.bucketsByWorkspace[w.Name] = b
	}
	b.refill(now, l.bucketSize(w))
	return b
}

// bucketSize returns the size of a workspace's bucket under the current leases.
func (l *Limiter) bucketSize(w workspace.Workspace) bucketSize {
	return newBucketSize(l.delegatedFraction(w.Name), w.Limit, l.tolerance)
}

// delegatedFraction returns the fraction of a workspace's limit that is delegated to this
// limiter.
func (l *Limiter) delegatedFraction(name string) float64 {
	shard := shardOf(name)
	fraction := 0.0
	for _, d := range l.sharesByInstance {
		if d.shards[shard] {
			fraction += d.fraction
		}
	}
	return fraction
}
