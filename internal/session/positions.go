package session

import (
	"slices"

	"github.com/topazrock/topazrock/internal/logpos"
)

// maxPositions bounds the groups whose positions a session holds. A session uses one group at a time
// and comes to another one only when its database moves.
const maxPositions = 16

// Positions holds the log position that the session's reads must reflect in each group that the
// session has used. A position belongs to its group's log: it is neither valid in another group nor
// made obsolete by one, because the session may come back.
//
// The zero Positions holds none.
type Positions struct {
	// tokens holds one token for each group, the least recently raised first.
	tokens []logpos.Token
	// dropped means that the position of a group was dropped to stay within maxPositions.
	dropped bool
}

// Of returns the position in a group; the zero Token if none is held.
func (p *Positions) Of(group string) logpos.Token {
	if i := p.index(group); i >= 0 {
		return p.tokens[i]
	}
	return logpos.Token{}
}

// MayBeMissing reports whether the session had a position in a group that is not held any more.
func (p *Positions) MayBeMissing(group string) bool { return p.dropped && p.index(group) < 0 }

// Raise sets the position in the token's group unless the held one is as high, and reports whether
// it did. The zero Token raises nothing.
func (p *Positions) Raise(t logpos.Token) bool {
	if t.IsZero() {
		return false
	}
	i := p.index(t.Group)
	if i >= 0 && !p.tokens[i].Less(t.TermPosition) {
		return false
	}
	switch {
	case i >= 0:
		p.tokens = slices.Delete(p.tokens, i, i+1)
	case len(p.tokens) == maxPositions:
		p.tokens, p.dropped = slices.Delete(p.tokens, 0, 1), true
	}
	p.tokens = append(p.tokens, t)
	return true
}

func (p *Positions) index(group string) int {
	return slices.IndexFunc(p.tokens, func(t logpos.Token) bool { return t.Group == group })
}
