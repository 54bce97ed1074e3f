package quota

import "time"

// delegated is the share of one holder.
type delegated struct {
	process string
	number  uint64
	until   time.Time
	part    float64
	shards  [shardCount]bool
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
			l.bucket(w, now).add(part*w.Limit.Rate*idle.Seconds(), l.size(w))
		}
	}
}
