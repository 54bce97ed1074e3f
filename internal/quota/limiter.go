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

// delegated is the share of one holder.
type delegated struct {
	process string
	number  uint64
	until   time.Time
	part    float64
	shards  [shardCount]bool
}

// heldAhead are the tokens that one holder holds of a workspace.
type heldAhead struct {
	tokens int
	until  time.Time
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

// expire drops the leases that have ended. What they brought since the buckets were last looked
// at is lost with them.
func (l *Limiter) expire(now time.Time) {
	for holder, d := range l.leases {
		if !d.until.After(now) {
			delete(l.leases, holder)
		}
	}
}

// delegate takes in a lease. One for another process of this instance, or whose time is over when
// it arrives, however long it was on its way, delegates nothing. One of an earlier number would
// end the share before its time.
func (l *Limiter) delegate(holder, process string, n lease, now time.Time) {
	until := l.startedAt.Add(time.Duration(n.Until) * time.Microsecond)
	if n.Process != l.process || n.Parts <= 0 || !until.After(now) || until.Sub(now) > leaseLength {
		return
	}
	before := l.leases[holder]
	if before != nil && before.process == process && before.number > n.Number {
		return
	}
	next := &delegated{process: process, number: n.Number, until: until, part: 1 / float64(n.Parts)}
	for _, s := range n.Shards {
		if s >= 0 && s < shardCount {
			next.shards[s] = true
		}
	}
	if !next.covers(before) {
		// The buckets gain from a share only from now on.
		l.settle(now)
	}
	l.leases[holder] = next
	l.open(holder, next, now)
	for shard, idle := range n.Idle {
		if shard >= 0 && shard < shardCount && next.shards[shard] {
			l.credit(shard, next.part, time.Duration(idle)*time.Microsecond, now)
		}
	}
}

// openingTime is how long after its start a limiter gives its buckets something to begin with.
const openingTime = 2 * leaseLength

// open gives buckets of a new limiter something to begin with, once for each share. The load
// pattern is a return of all instances: callers are back before a bucket of six a second that
// begins empty has its first token. What this adds to a window is what the tolerance spares for
// tokens held ahead, which are gone with the processes that held them.
func (l *Limiter) open(holder string, d *delegated, now time.Time) {
	if now.Sub(l.startedAt) > openingTime {
		return
	}
	opened := l.opened[holder]
	if opened == nil {
		opened = new([shardCount]bool)
		l.opened[holder] = opened
	}
	var fresh [shardCount]bool
	for shard, has := range d.shards {
		fresh[shard] = has && !opened[shard]
		opened[shard] = opened[shard] || has
	}
	for _, w := range l.workspaces.Workspaces().All() {
		if fresh[shardOf(w.Name)] {
			l.bucket(w, now).add(d.part*l.tolerance.ahead(w.Limit), l.size(w))
		}
	}
}

// covers reports whether the share of a lease is no larger than that of the one before.
func (d *delegated) covers(before *delegated) bool {
	if before == nil || d.part > before.part {
		return false
	}
	for s, has := range d.shards {
		if has && !before.shards[s] {
			return false
		}
	}
	return true
}

// settle brings all buckets up to date.
func (l *Limiter) settle(now time.Time) {
	table := l.workspaces.Workspaces()
	for name, b := range l.buckets {
		w, ok := table.Named(name)
		if !ok {
			delete(l.buckets, name)
			continue
		}
		b.gain(now, l.size(w))
	}
}

// credit adds what a share gained while nobody held it.
func (l *Limiter) credit(shard int, part float64, idle time.Duration, now time.Time) {
	for _, w := range l.workspaces.Workspaces().All() {
		if shardOf(w.Name) == shard {
			l.bucket(w, now).add(part*w.Limit.RatePerSecond*idle.Seconds(), l.size(w))
		}
	}
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

// noteHeld takes in how many tokens a holder holds.
func (l *Limiter) noteHeld(r request, now time.Time) {
	if len(r.Held) == 0 {
		return
	}
	tokens := l.held[r.Holder]
	if tokens == nil {
		tokens = make(map[string]heldAhead)
		l.held[r.Holder] = tokens
	}
	for name, n := range r.Held {
		tokens[name] = heldAhead{tokens: n, until: now.Add(aheadLife)}
	}
}

// giveAhead hands out tokens for operations to come, as far as all holders together may hold.
func (l *Limiter) giveAhead(holder string, w workspace.Workspace, n int, now time.Time) int {
	out := 0
	for other, tokens := range l.held {
		h, ok := tokens[w.Name]
		switch {
		case !ok:
		case !h.until.After(now):
			delete(tokens, w.Name)
		default:
			out += h.tokens
		}
		if len(tokens) == 0 {
			delete(l.held, other)
		}
	}
	room := int(l.partOf(w.Name)*l.tolerance.ahead(w.Limit)) - out
	given := l.bucket(w, now).take(min(n, room))
	if given > 0 {
		if l.held[holder] == nil {
			l.held[holder] = make(map[string]heldAhead)
		}
		h := l.held[holder][w.Name]
		l.held[holder][w.Name] = heldAhead{tokens: h.tokens + given, until: now.Add(aheadLife)}
	}
	return given
}
