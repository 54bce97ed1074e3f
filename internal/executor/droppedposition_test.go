package executor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
)

// Guards against a read within a maximum age that misses its session's own commit because the
// session's position was dropped.
func TestReadOfASessionWithoutItsPositionTakesTheFloor(t *testing.T) {
	for roaming, want := range map[bool]logpos.Position{false: 10, true: 15} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
			reply, err := g.Execute(t.Context(), &execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: time.Second, ReadOnly: true,
				Roaming: roaming, Messages: []byte("read")}, nil)
			is.NoErr(err)
			is.Equal(cluster.members[reply.Member].required, logpos.TermPosition{Term: 1, Position: want})
			if roaming {
				is.Equal(reply.Token, logpos.Token{Group: "g", TermPosition: logpos.TermPosition{Term: 1, Position: want}})
			}
		})
	}
}
