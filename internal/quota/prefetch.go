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
	tokens := l.prefetched[r.Instance]
	if tokens == nil {
		tokens = make(map[string]prefetchedTokens)
		l.prefetched[r.Instance] = tokens
	}
	for name, n := range r.Prefetched {
		tokens[name] = prefetchedTokens{tokens: n, expiresAt: now.Add(prefetchLifetime)}
	}
}

// grantPrefetch grants tokens for future operations, up to the number that all instances
// together may hold.
func (l *Limiter) grantPrefetch(instance string, w workspace.Workspace, n int, now time.Time) int {
	outstanding := 0
	for other, tokens := range l.prefetched {
		h, ok := tokens[w.Name]
		switch {
		case !ok:
		case !h.expiresAt.After(now):
			delete(tokens, w.Name)
		default:
			outstanding += h.tokens
		}
		if len(tokens) == 0 {
			delete(l.prefetched, other)
		}
	}
	available := int(l.delegatedFraction(w.Name)*l.tolerance.maxPrefetched(w.Limit)) - outstanding
	granted := l.refilledBucket(w, now).takeTokens(min(n, available))
	if granted > 0 {
		if l.prefetched[instance] == nil {
			l.prefetched[instance] = make(map[string]prefetchedTokens)
		}
		h := l.prefetched[instance][w.Name]
		l.prefetched[instance][w.Name] = prefetchedTokens{tokens: h.tokens + granted, expiresAt: now.Add(prefetchLifetime)}
	}
	return granted
}
