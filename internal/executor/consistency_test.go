package executor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
)

// Guards against a read that has to see all acknowledged writes and is sent to a replica with a position
// that was proved earlier.
func TestReadWithoutAPrimaryRequiresWhatItsLevelPromises(t *testing.T) {
	const proved, floor = 10, 15
	for name, c := range map[string]struct {
		level consistency.Level
		want  logpos.Position
	}{
		"primary":            {consistency.Primary(), floor},
		"current":            {consistency.Current(), floor},
		"age of zero":        {consistency.WithinAge(0), floor},
		"negative age":       {consistency.WithinAge(-time.Second), floor},
		"within a minute":    {consistency.WithinAge(time.Minute), proved},
		"within the longest": {consistency.WithinAge(1<<63 - 1), proved},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
				g.Service().ReadClasses = []document.ReadClass{{Name: "r", Consistency: c.level, MayWrite: true, LatencyObjective: readObjective}}
				cluster.snapshot.Primary = ""
				for _, transaction := range []bool{false, true} {
					reply, err := g.Execute(t.Context(), &execution.Unit{ID: "u", Group: "g", Class: "r", Timeout: time.Second, ReadOnly: true,
						BeginsTransaction: transaction, ReadOnlyTransaction: transaction, Messages: []byte("read")}, nil)
					is.NoErr(err)
					is.Equal(cluster.members[reply.Member].required, logpos.TermPosition{Term: 1, Position: c.want})
				}
			})
		})
	}
}
