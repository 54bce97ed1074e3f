package quota

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// usesRanks reports whether more urgent operations get tokens first.
func (l *Limiter) usesRanks() bool { return l.ranked != nil && l.ranked() }

// grantRankedTokens grants tokens to operations that wait, most urgent first.
func (l *Limiter) grantRankedTokens(answer *response, w workspace.Workspace, counts rankCounts, now time.Time) {
	b, size := l.refilledBucket(w, now), l.bucketSize(w)
	granted, retryAfter := 0, time.Duration(0)
	for rank := MostUrgent; rank <= LeastUrgent; rank++ {
		n := counts[rank]
		if n == 0 {
			continue
		}
		b.reserve.recordDemand(rank, n, now)
		taken := b.takeTokensAbove(b.reserve.tokensKeptFrom(rank, now, size), n)
		granted += taken
		if taken < n {
			b.reserve.recordRefusal(now)
			retryAfter = b.reserve.reserveRetry(rank, n-taken, now, size)
		}
	}
	setCount(&answer.Granted, w.Name, granted)
	setCount(&answer.RetryAfterMS, w.Name, retryAfter.Milliseconds())
}

// grantRankedPrefetch grants tokens for future operations, most urgent first. While tokens are
// scarce, only the most urgent rank that asks for tokens gets any: one that is held for a less
// urgent operation would be missing from the reserve.
func (l *Limiter) grantRankedPrefetch(answer *response, instance string, w workspace.Workspace, counts rankCounts, now time.Time) {
	b := l.refilledBucket(w, now)
	b.reserve.decay(now)
	var granted rankCounts
	for rank := MostUrgent; rank <= LeastUrgent; rank++ {
		if counts[rank] == 0 || b.reserve.scarce(now) && b.reserve.moreUrgentPeak(rank) > 0 {
			continue
		}
		granted[rank] = l.grantPrefetch(instance, w, counts[rank], now)
		b.reserve.recordDemand(rank, granted[rank], now)
	}
	setCount(&answer.PrefetchGranted, w.Name, granted.total())
	if granted.total() > 0 {
		if answer.PrefetchGrantedByRank == nil {
			answer.PrefetchGrantedByRank = make(map[string]map[Rank]int)
		}
		answer.PrefetchGrantedByRank[w.Name] = granted.toMap()
	}
}
