package quota

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// heldAhead are the tokens that one holder holds of a workspace.
type heldAhead struct {
	tokens int
	until  time.Time
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
