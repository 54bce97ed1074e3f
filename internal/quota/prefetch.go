package quota

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// prefetchedTokens are the prefetched tokens of a workspace that one instance holds.
type prefetchedTokens struct {
	tokens    int
	expiresAt time.Time
}

// recordPrefetched records how many prefetched tokens an instance reports.
func (l *Limiter) recordPrefetched(r request, now time.Time) {
	if len(r.Prefetched) == 0 {
		return
	}
	byWorkspace := l.prefetchedByInstance[r.Instance]
	if byWorkspace == nil {
		byWorkspace = make(map[string]prefetchedTokens)
		l.prefetchedByInstance[r.Instance] = byWorkspace
	}
	for name, n := range r.Prefetched {
		byWorkspace[name] = prefetchedTokens{tokens: n, expiresAt: now.Add(prefetchLifetime)}
	}
}

// grantPrefetch grants tokens for future operations, up to the number that all instances
// together may hold.
func (l *Limiter) grantPrefetch(instance string, w workspace.Workspace, n int, now time.Time) int {
	outstanding := 0
	for other, byWorkspace := range l.prefetchedByInstance {
		held, ok := byWorkspace[w.Name]
		switch {
		case !ok:
		case !held.expiresAt.After(now):
			delete(byWorkspace, w.Name)
		default:
			outstanding += held.tokens
		}
		if len(byWorkspace) == 0 {
			delete(l.prefetchedByInstance, other)
		}
	}
	available := int(l.delegatedFraction(w.Name)*l.tolerance.maxPrefetched(w.Limit)) - outstanding
	granted := l.refilledBucket(w, now).takeTokens(min(n, available))
	if granted > 0 {
		if l.prefetchedByInstance[instance] == nil {
			l.prefetchedByInstance[instance] = make(map[string]prefetchedTokens)
		}
		held := l.prefetchedByInstance[instance][w.Name]
		l.prefetchedByInstance[instance][w.Name] = prefetchedTokens{tokens: held.tokens + granted, expiresAt: now.Add(prefetchLifetime)}
	}
	return granted
}
