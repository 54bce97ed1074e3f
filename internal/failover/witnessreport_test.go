package failover

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/platform"
)

func TestAgreementCountsDomainsAndNotInstances(t *testing.T) {
	lost := func(d string) WitnessReport { return WitnessReport{d, OpinionLost} }
	alive := func(d string) WitnessReport { return WitnessReport{d, OpinionAlive} }
	none := func(d string) WitnessReport { return WitnessReport{d, OpinionNone} }
	for _, c := range []struct {
		name    string
		answers []WitnessReport
		want    bool
	}{
		{"nobody answers", nil, true},
		{"nobody can tell", []WitnessReport{none("b"), none("c")}, true},
		{"all agree", []WitnessReport{lost("b"), lost("c")}, true},
		{"one cut link", []WitnessReport{alive("b"), alive("c")}, false},
		{"one against one", []WitnessReport{alive("b")}, false},
		{"two against one", []WitnessReport{alive("b"), lost("c")}, true},
		{"many of one domain", []WitnessReport{lost("b"), alive("b"), lost("b")}, false},
		{"own domain reaches it", []WitnessReport{alive("a"), lost("b")}, false},
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
	heardIn := func(s *group.Snapshot) func(string) time.Time {
		return func(address string) time.Time {
			m, _ := s.Find(address)
			return m.SeenAt
		}
	}
	opinion := func(s *group.Snapshot, q Question) Opinion { return opinionOf(now, s, heardIn(s), q, detect) }
	fresh := snapshot(group.MemberView{SeenAt: now.Add(-detect)})
	is.Equal(opinion(fresh, Question{Term: 2}), OpinionAlive)
	is.Equal(opinion(fresh, Question{Term: 1}), OpinionAlive)
	is.Equal(opinion(fresh, Question{Term: 3}), OpinionNone)
	is.Equal(opinion(snapshot(group.MemberView{SeenAt: now.Add(-time.Second)}), Question{Term: 2}), OpinionNone)
	is.Equal(opinion(snapshot(group.MemberView{SeenAt: now, Failures: 1}), Question{Term: 2}), OpinionLost)
	is.Equal(opinion(&group.Snapshot{Term: 2}, Question{Term: 2}), OpinionLost)
	is.Equal(opinion(&group.Snapshot{}, Question{}), OpinionNone)
}

// A primary answers this witness, and of its two replicas none does: both may be cut off
// from the primary together with everybody else. Its word must not keep the others from
// replacing the primary. With one replica heard it does.
func TestWitnessWithoutAMajorityCannotTell(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	detect := 150 * time.Millisecond
	s := &group.Snapshot{Term: 2, Primary: "p", Size: 3, Members: []group.MemberView{{Address: "p"}, {Address: "r"}, {Address: "q"}}}
	heard := map[string]time.Time{"p": now}
	heardAt := func(address string) time.Time { return heard[address] }
	is.Equal(opinionOf(now, s, heardAt, Question{Term: 2}, detect), OpinionNone)
	heard["r"] = now.Add(-detect)
	is.Equal(opinionOf(now, s, heardAt, Question{Term: 2}, detect), OpinionAlive)
}

// quietView is of a group that nobody has asked anything for minutes; its members answer
// a question after some time, or never.
type quietView struct {
	View
	snapshot group.Snapshot
	after    time.Duration

	mu    sync.Mutex
	heard map[string]time.Time
}

// Snapshot implements View.
func (q *quietView) Snapshot() *group.Snapshot { return &q.snapshot }

// HeardAt implements View.
func (q *quietView) HeardAt(address string) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.heard[address]
}

// Recheck implements View.
func (q *quietView) Recheck(address string) {
	asked := time.Now()
	time.AfterFunc(q.after, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.heard[address] = asked
	})
}

// One instance loses its link to the primary of a group that has little to do, and asks
// the others. They have heard nothing of the primary for long. They look, and say within
// the time that the claimer waits that it is well; of one that does not answer they
// cannot tell.
func TestWitnessLooksForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for after, want := range map[time.Duration]Opinion{5 * time.Millisecond: OpinionAlive, time.Hour: OpinionNone} {
			v := &quietView{after: after, heard: make(map[string]time.Time), snapshot: group.Snapshot{Term: 2, Primary: "p", Size: 3,
				Members: []group.MemberView{{Address: "p"}, {Address: "r"}, {Address: "q"}}}}
			began := time.Now()
			is.Equal(witnessOpinion(t.Context(), clock.System{}, v, Question{Term: 2}, 150*time.Millisecond), want)
			is.True(time.Since(began) < DefaultSettings().Witness)
		}
	})
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
