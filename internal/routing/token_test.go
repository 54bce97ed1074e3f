package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
)

// A session's token names a position among log entries that the new term discarded. The
// session must not wait for a position that is not in the new log, but still needs
// everything that is.
func TestTokenOfOlderTermIsCappedAtTermStart(t *testing.T) {
	is := is.New(t)
	s := &group.Snapshot{Term: 3, TermStart: 500}
	required := func(term logpos.Term, p logpos.Position) (logpos.Position, bool) {
		return RequiredPosition(s, logpos.Token{Group: "g", TermPosition: logpos.TermPosition{Term: term, Position: p}})
	}
	p, ok := required(2, 900)
	is.True(ok)
	is.Equal(p, logpos.Position(500))
	p, _ = required(2, 400)
	is.Equal(p, logpos.Position(400))
	p, _ = required(3, 900)
	is.Equal(p, logpos.Position(900))
	_, ok = required(4, 1)
	is.True(!ok)
}
