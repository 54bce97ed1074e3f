package failover

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/platform"
)

func TestAgreementCountsDomainsAndNotInstances(t *testing.T) {
	lost := func(d string) Testimony { return Testimony{d, OpinionLost} }
	alive := func(d string) Testimony { return Testimony{d, OpinionAlive} }
	none := func(d string) Testimony { return Testimony{d, OpinionNone} }
	for _, c := range []struct {
		name    string
		answers []Testimony
		want    bool
	}{
		{"nobody answers", nil, true},
		{"nobody can tell", []Testimony{none("b"), none("c")}, true},
		{"all agree", []Testimony{lost("b"), lost("c")}, true},
		{"one cut link", []Testimony{alive("b"), alive("c")}, false},
		{"one against one", []Testimony{alive("b")}, false},
		{"two against one", []Testimony{alive("b"), lost("c")}, true},
		{"many of one domain", []Testimony{lost("b"), alive("b"), lost("b")}, false},
		{"own domain reaches it", []Testimony{alive("a"), lost("b")}, false},
	} {
		if got := agreed("a", c.answers); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

func TestOpinionNeedsTheTermAndAFreshReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	detect := 150 * time.Millisecond
	snapshot := func(m group.MemberView) *group.Snapshot {
		m.Address = "p"
		return &group.Snapshot{Term: 2, Primary: "p", Members: []group.MemberView{m}}
	}
	fresh := snapshot(group.MemberView{SeenAt: now.Add(-detect)})
	is.Equal(opinionOf(now, fresh, Question{Term: 2}, detect), OpinionAlive)
	is.Equal(opinionOf(now, fresh, Question{Term: 1}, detect), OpinionAlive)
	is.Equal(opinionOf(now, fresh, Question{Term: 3}, detect), OpinionNone)
	is.Equal(opinionOf(now, snapshot(group.MemberView{SeenAt: now.Add(-time.Second)}), Question{Term: 2}, detect), OpinionNone)
	is.Equal(opinionOf(now, snapshot(group.MemberView{SeenAt: now, Failures: 1}), Question{Term: 2}, detect), OpinionLost)
	is.Equal(opinionOf(now, &group.Snapshot{Term: 2}, Question{Term: 2}, detect), OpinionLost)
	is.Equal(opinionOf(now, &group.Snapshot{}, Question{}, detect), OpinionNone)
}

// stuck is a caller whose calls outlive their context.
type stuck struct{ release chan struct{} }

// Call implements peer.Caller.
func (s stuck) Call(context.Context, string, string, any, any) error {
	<-s.release
	return context.Canceled
}

// A call to a peer that is cut off hangs beyond its bound. The claimer must go on
// at the bound, without that peer's opinion.
func TestWitnessIsBoundedWhateverACallDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := stuck{release: make(chan struct{})}
		defer close(caller.release)
		self := platform.Instance{ID: "i1", FailureDomain: "a"}
		list := func() []platform.Instance { return []platform.Instance{self, {ID: "i2", FailureDomain: "b"}} }
		w := NewPeerWitness(caller, self, list, rand.New(rand.NewPCG(1, 1)))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		is.Equal(len(w.Ask(ctx, Question{Group: "g", Term: 1})), 0)
		is.Equal(time.Since(start), 50*time.Millisecond)
	})
}

func TestRankPutsTroubledAndLeavingLast(t *testing.T) {
	is := is.New(t)
	list := []platform.Instance{
		{ID: "i1", FailureDomain: "a"}, {ID: "i2", FailureDomain: "b"}, {ID: "i3", FailureDomain: "c", Leaving: true}, {ID: "i4", FailureDomain: "b"},
	}
	places := map[int]bool{}
	for _, i := range list {
		places[rank("g", i.ID, "a", list)] = true
	}
	is.Equal(len(places), len(list))
	is.True(rank("g", "i2", "a", list) < 2)
	is.True(rank("g", "i4", "a", list) < 2)
	is.Equal(rank("g", "unlisted", "", list), len(list))
}
