package executor

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/memberhealth"
)

// withoutPrimary returns a group without a primary whose class "r" has a level.
func withoutPrimary(level consistency.Level) (*Group, *fakeCluster) {
	g, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
	g.Service().ReadClasses = []document.ReadClass{{Name: "r", Consistency: level, MayWrite: true, LatencyObjective: readObjective}}
	cluster.snapshot.Primary = ""
	return g, cluster
}

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
				g, cluster := withoutPrimary(c.level)
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

// Guards against a home with another version of the configuration than the entry instance, which reads within
// an age that one of the two versions does not allow.
func TestReadMeetsTheLevelsOfEntryAndHome(t *testing.T) {
	const proved, floor = 10, 15
	aged := consistency.WithinAge(time.Minute)
	primary := consistency.Primary()
	for name, c := range map[string]struct {
		home  consistency.Level
		entry *consistency.Level
		want  logpos.Position
	}{
		"entry is stricter":      {aged, &primary, floor},
		"home is stricter":       {primary, &aged, floor},
		"same":                   {aged, &aged, proved},
		"entry of earlier build": {aged, nil, proved},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, cluster := withoutPrimary(c.home)
				sent, err := json.Marshal(execution.Unit{ID: "u", Group: "g", Class: "r", Consistency: c.entry, Timeout: time.Second, ReadOnly: true, Messages: []byte("read")})
				is.NoErr(err)
				var u execution.Unit
				is.NoErr(json.Unmarshal(sent, &u))
				reply, err := g.Execute(t.Context(), &u, nil)
				is.NoErr(err)
				is.Equal(cluster.members[reply.Member].required, logpos.TermPosition{Term: 1, Position: c.want})
			})
		})
	}
}

// Guards against a read that avoids an ejected primary and is sent to a replica with a position that was
// proved earlier.
func TestReadWithAnEjectedPrimaryRequiresTheFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fake, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
		fake.Service().ReadClasses = []document.ReadClass{{Name: "r", Consistency: consistency.Primary(), MayWrite: true, LatencyObjective: readObjective}}
		cluster.snapshot.Size = 3
		config := fake.Config
		config.Health = memberhealth.NewTracker(memberhealth.Config{
			Group: "g", Process: "i", Clock: clock.System{}, Logger: hclog.NewNullLogger(), Metrics: memberhealth.NewMetrics(nil),
			Enabled: func() bool { return true }, Incarnation: func(string) int64 { return 1 }, Snapshot: cluster.Snapshot,
			Notify: func(memberhealth.Evidence) {},
		})
		g := NewGroup(config)
		for range 50 {
			if g.Health.State("p") != memberhealth.Healthy {
				break
			}
			g.Health.Begin("p", "r").Failed()
			g.Health.Begin("r1", "r").Served()
			time.Sleep(20 * time.Millisecond)
		}
		is.True(g.Health.State("p") != memberhealth.Healthy)
		reply, err := g.Execute(t.Context(), &execution.Unit{ID: "u", Group: "g", Class: "r", Timeout: time.Second, ReadOnly: true, Messages: []byte("read")}, nil)
		is.NoErr(err)
		is.True(reply.Member != "p")
		is.Equal(cluster.members[reply.Member].required, logpos.TermPosition{Term: 1, Position: 15})
	})
}
