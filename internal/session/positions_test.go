package session

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
)

func token(group string, term logpos.Term, p logpos.Position) logpos.Token {
	return logpos.Token{Group: group, TermPosition: logpos.TermPosition{Term: term, Position: p}}
}

// Guards against a position that an older one, another group's, or none at all replaces.
func TestPositionsOnlyRise(t *testing.T) {
	is := is.New(t)
	var p Positions
	is.True(p.Raise(token("a", 2, 7)))
	is.True(!p.Raise(token("a", 2, 7)))
	is.True(!p.Raise(token("a", 2, 6)))
	is.True(!p.Raise(token("a", 1, 9)))
	is.True(!p.Raise(logpos.Token{}))
	is.True(p.Raise(token("b", 1, 1)))
	is.Equal(p.Of("a"), token("a", 2, 7))
	is.True(p.Raise(token("a", 3, 1)))
	is.Equal(p.Of("a"), token("a", 3, 1))
	is.Equal(p.Of("b"), token("b", 1, 1))
	is.Equal(p.Of("c"), logpos.Token{})
	is.True(!p.MayBeMissing("c"))
}

// Guards against sessions that grow without bound, and against a dropped position that is taken for none.
func TestDroppedPositionMakesTheSessionRoaming(t *testing.T) {
	is := is.New(t)
	s := State{Group: "g0"}
	for i := range maxPositions + 1 {
		s.ApplyReply(&execution.Reply{Token: token(fmt.Sprint("g", i), 1, 1)})
	}
	is.Equal(len(s.Positions.tokens), maxPositions)
	var u execution.Unit
	s.FillUnit(&u)
	is.True(u.Token.IsZero())
	is.True(u.Roaming)
	s.Group = "g1"
	s.FillUnit(&u)
	is.Equal(u.Token, token("g1", 1, 1))
	is.True(!u.Roaming)
}
