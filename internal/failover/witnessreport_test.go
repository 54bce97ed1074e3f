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
	lost := func(d string) WitnessReport { return WitnessReport{d, PrimaryLost} }
	alive := func(d string) WitnessReport { return WitnessReport{d, PrimaryAlive} }
	none := func(d string) WitnessReport { return WitnessReport{d, PrimaryUnknown} }
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
		if got := majorityReportsLoss("a", c.answers); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

func TestPrimaryStateNeedsTermAndFreshReport(t *testing.T) {
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
	state := func(s *group.Snapshot, q WitnessRequest) PrimaryState {
		return primaryStateFrom(now, s, heardIn(s), q, detect)
	}
	fresh := snapshot(group.MemberView{SeenAt: now.Add(-detect)})
	is.Equal(state(fresh, WitnessRequest{Term: 2}), PrimaryAlive)
	is.Equal(state(fresh, WitnessRequest{Term: 1}), PrimaryAlive)
	is.Equal(state(fresh, WitnessRequest{Term: 3}), PrimaryUnknown)
	is.Equal(state(snapshot(group.MemberView{SeenAt: now.Add(-time.Second)}), WitnessRequest{Term: 2}), PrimaryUnknown)
	is.Equal(state(snapshot(group.MemberView{SeenAt: now, Failures: 1}), WitnessRequest{Term: 2}), PrimaryLost)
	is.Equal(state(&group.Snapshot{Term: 2}, WitnessRequest{Term: 2}), PrimaryLost)
	is.Equal(state(&group.Snapshot{}, WitnessRequest{}), PrimaryUnknown)
}

// A primary answers this witness, and of its two replicas none does: both may be cut off
// from the primary together with everybody else. Its word must not keep the others from
// replacing the primary. With one replica heard it does.
func TestWitnessWithoutMajorityReportsUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	detect := 150 * time.Millisecond
	s := &group.Snapshot{Term: 2, Primary: "p", Size: 3, Members: []group.MemberView{{Address: "p"}, {Address: "r"}, {Address: "q"}}}
	heard := map[string]time.Time{"p": now}
	heardAt := func(address string) time.Time { return heard[address] }
	is.Equal(primaryStateFrom(now, s, heardAt, WitnessRequest{Term: 2}, detect), PrimaryUnknown)
	heard["r"] = now.Add(-detect)
	is.Equal(primaryStateFrom(now, s, heardAt, WitnessRequest{Term: 2}, detect), PrimaryAlive)
}

// idleView is of a group that nobody has asked anything for minutes; its members answer
// a question after some time, or never.
type idleView struct {
	View
	snapshot    group.Snapshot
	answerDelay time.Duration

	mu    sync.Mutex
	heard map[string]time.Time
}

// Snapshot implements View.
func (v *idleView) Snapshot() *group.Snapshot { return &v.snapshot }

// HeardAt implements View.
func (v *idleView) HeardAt(address string) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.heard[address]
}

// Recheck implements View.
func (v *idleView) Recheck(address string) {
	asked := time.Now()
	time.AfterFunc(v.answerDelay, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.heard[address] = asked
	})
}

// One instance loses its link to the primary of a group that has little to do, and asks
// the others. They have heard nothing of the primary for long. They look, and say within
// the time that the claimer waits that it is well; of one that does not answer they
// cannot tell.
func TestWitnessRechecksStaleMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for after, want := range map[time.Duration]PrimaryState{5 * time.Millisecond: PrimaryAlive, time.Hour: PrimaryUnknown} {
			v := &idleView{answerDelay: after, heard: make(map[string]time.Time), snapshot: group.Snapshot{Term: 2, Primary: "p", Size: 3,
				Members: []group.MemberView{{Address: "p"}, {Address: "r"}, {Address: "q"}}}}
			began := time.Now()
			is.Equal(observePrimary(t.Context(), clock.System{}, v, WitnessRequest{Term: 2}, 150*time.Millisecond), want)
			is.True(time.Since(began) < DefaultSettings().WitnessTimeout)
		}
	})
}

// stuck is a caller whose calls outlive their context.
type hangingCaller struct{ release chan struct{} }

// Call implements peer.Caller.
func (c hangingCaller) Call(context.Context, string, string, any, any) error {
	<-c.release
	return context.Canceled
}

// A call to a peer that is cut off hangs beyond its bound. The claimer must go on
// at the bound, without that peer's opinion.
func TestWitnessQueryReturnsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		caller := hangingCaller{release: make(chan struct{})}
		defer close(caller.release)
		self := platform.Instance{ID: "i1", FailureDomain: "a"}
		list := func() []platform.Instance { return []platform.Instance{self, {ID: "i2", FailureDomain: "b"}} }
		w := NewPeerWitness(caller, self, list, rand.New(rand.NewPCG(1, 1)))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		is.Equal(len(w.Query(ctx, WitnessRequest{Group: "g", Term: 1})), 0)
		is.Equal(time.Since(start), 50*time.Millisecond)
	})
}

func TestRankPutsFailingDomainAndLeavingLast(t *testing.T) {
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
