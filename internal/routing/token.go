package routing

import (
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// RequiredPosition returns the position of the snapshot's term that covers a
// token. The second value is false when the token is of a term that the
// snapshot has not seen yet.
//
// A token of an older term is compared with the smaller of its position and the
// start of the present term: all that was acknowledged stands before that start,
// and a position past it is in a tail that the new log will never reach, so
// that a session would wait for ever.
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
