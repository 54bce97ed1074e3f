package routing

import (
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// RequiredPosition converts a token to a position in the term of the snapshot. The second
// value is false if the token's term is newer than the snapshot's.
//
// For a token of an older term, the result is at most the start of the current term.
// Everything acknowledged precedes that start. A later position belongs to log entries that
// were discarded; the new log does not contain them, and a session would wait for it
// forever.
func RequiredPosition(s *group.Snapshot, t logpos.Token) (logpos.Position, bool) {
	switch {
	case t.IsZero():
		return 0, true
	case t.Term > s.Term:
		return 0, false
	case t.Term < s.Term:
		return min(t.Position, s.TermStart), true
	default:
		return t.Position, true
	}
}
