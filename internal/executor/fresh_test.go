package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// A primary steps down for a promotion that fenced it and one replica. The other replica was not
// fenced, so it proves the old term, and the old primary, now a replica, still answers reads. A
// caller that asks for fresh data would get data from before the promotion. The member must have
// shown that it is the primary of the proved term. Accepting a transaction shows this only if the
// transaction may write, because replicas accept read transactions.
func TestFreshReadRequiresCurrentPrimary(t *testing.T) {
	for name, c := range map[string]struct {
		unit   execution.Unit
		report *member.Status
		fresh  bool
	}{
		"primary":                               {report: &member.Status{Role: member.RolePrimary, EnteredTerm: 1}, fresh: true},
		"now a replica":                         {report: &member.Status{Role: member.RoleReplica, EnteredTerm: 1}},
		"fenced":                                {report: &member.Status{Role: member.RoleFenced, EnteredTerm: 2}},
		"primary of a later term":               {report: &member.Status{Role: member.RolePrimary, EnteredTerm: 2}},
		"no report":                             {},
		"accepted a transaction that may write": {unit: execution.Unit{BeginsTransaction: true}, fresh: true},
		"accepted a read transaction":           {unit: execution.Unit{BeginsTransaction: true, ReadOnlyTransaction: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, cluster := newFakeGroup(&fakeMember{}, &fakeMember{}, &fakeMember{})
			g := &Group{Config: Config{Tracker: cluster, Clock: clock.System{}}}
			x := &exchange{
				conn:         fakeConn{cluster: cluster, address: "p"},
				verification: &group.Verification{Term: 1}, // proved at once
				Exchange:     wire.Exchange{Unit: &c.unit, Outcome: wire.Outcome{MemberStatus: c.report}},
			}
			err := g.awaitVerification(t.Context(), plan{limits: document.Limits{ConfirmTimeout: time.Second}}, x)
			is.Equal(err == nil, c.fresh)
			if e, ok := result.As(err); ok {
				is.Equal(e.Code, result.NoPrimary)
			}
		})
	}
}
