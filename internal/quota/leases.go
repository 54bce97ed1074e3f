package quota

import "time"

// delegatedShare is the share that one instance has delegated to this limiter.
type delegatedShare struct {
	process   string
	sequence  uint64
	expiresAt time.Time
	fraction  float64
	shards    [shardCount]bool
}

// removeExpiredLeases removes the leases that have ended. The tokens that accrued from them
// since the buckets were last refilled are lost.
func (l *Limiter) removeExpiredLeases(now time.Time) {
	for instance, d := range l.sharesByInstance {
		if !d.expiresAt.After(now) {
			delete(l.sharesByInstance, instance)
		}
	}
}

// acceptLease accepts a lease from an instance. It ignores a lease for another process of the
// limiter's instance, and one that has ended by the time it arrives, however long its delivery
// took. It also ignores one with an earlier sequence number, which would end the share before
// its time.
func (l *Limiter) acceptLease(instance, process string, offered lease, now time.Time) {
	expiresAt := l.startedAt.Add(time.Duration(offered.Until) * time.Microsecond)
	if offered.Process != l.process || offered.ShareCount <= 0 || !expiresAt.After(now) || expiresAt.Sub(now) > leaseDuration {
		return
	}
	previous := l.sharesByInstance[instance]
	if previous != nil && previous.process == process && previous.sequence > offered.Sequence {
		return
	}
	accepted := &delegatedShare{process: process, sequence: offered.Sequence, expiresAt: expiresAt, fraction: 1 / float64(offered.ShareCount)}
	for _, s := range offered.Shards {
		if s >= 0 && s < shardCount {
			accepted.shards[s] = true
		}
	}
	if !accepted.isWithin(previous) {
		// Refill before the share is added: it counts only from now on.
		l.refillBuckets(now)
	}
	l.sharesByInstance[instance] = accepted
	l.grantInitialTokens(instance, accepted, now)
	for shard, free := range offered.FreeMicros {
		if shard >= 0 && shard < shardCount && accepted.shards[shard] {
			l.creditFreeTime(shard, accepted.fraction, time.Duration(free)*time.Microsecond, now)
		}
	}
}

// initialGrantPeriod is how long after its start a limiter grants initial tokens.
const initialGrantPeriod = 2 * leaseDuration

// grantInitialTokens adds initial tokens to the buckets of a new limiter, once for each share.
// They are needed after a restart of all instances: callers are back before an empty bucket
// with six tokens a second has its first one. What they add to a window is at most the
// tolerance's allowance for prefetched tokens, which were lost with the processes that held
// them.
func (l *Limiter) grantInitialTokens(instance string, d *delegatedShare, now time.Time) {
	if now.Sub(l.startedAt) > initialGrantPeriod {
		return
	}
	initialized := l.initialized[instance]
	if initialized == nil {
		initialized = new([shardCount]bool)
		l.initialized[instance] = initialized
	}
	var uninitialized [shardCount]bool
	for shard, has := range d.shards {
		uninitialized[shard] = has && !initialized[shard]
		initialized[shard] = initialized[shard] || has
	}
	for _, w := range l.workspaces.Workspaces().All() {
		if uninitialized[shardOf(w.Name)] {
			l.refilledBucket(w, now).addTokens(d.fraction*l.tolerance.maxPrefetched(w.Limit), l.bucketSize(w))
		}
	}
}

// isWithin reports whether the share is no larger than that of the previous lease.
func (d *delegatedShare) isWithin(previous *delegatedShare) bool {
	if previous == nil || d.fraction > previous.fraction {
		return false
	}
	for s, has := range d.shards {
		if has && !previous.shards[s] {
			return false
		}
	}
	return true
}

// refillBuckets refills all buckets up to now.
func (l *Limiter) refillBuckets(now time.Time) {
	table := l.workspaces.Workspaces()
	for name, b := range l.bucketsByWorkspace {
		w, ok := table.ByName(name)
		if !ok {
			delete(l.bucketsByWorkspace, name)
			continue
		}
		b.refill(now, l.bucketSize(w))
	}
}

// creditFreeTime adds the tokens that accrued to a share while it was not leased.
func (l *Limiter) creditFreeTime(shard int, fraction float64, free time.Duration, now time.Time) {
	for _, w := range l.workspaces.Workspaces().All() {
		if shardOf(w.Name) == shard {
			l.refilledBucket(w, now).addTokens(fraction*w.Limit.Rate*free.Seconds(), l.bucketSize(w))
		}
	}
}
