package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
)

// listAPI is a platform that provides only the instance list.
type listAPI struct {
	platform.API
	mu    sync.Mutex
	list  platform.Inventory
	err   error
	calls int
}

func (a *listAPI) callCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls
}

func (a *listAPI) Inventory(context.Context) (platform.Inventory, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	return a.list, a.err
}

func (a *listAPI) set(list platform.Inventory, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list, a.err = list, err
}

func newInstances(n int) []platform.Instance {
	domains := []string{"poa-a", "poa-b", "fln-c"}
	var list []platform.Instance
	for i := range n {
		list = append(list, platform.Instance{ID: fmt.Sprintf("e%d", i), FailureDomain: domains[i%len(domains)],
			PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return list
}

func newMembers(api platform.API, self platform.Instance, perDomain int) *Members {
	return New(Options{API: api, Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)), Self: self, PerFailureDomain: perDomain})
}

func TestSelfIsLiveBeforeItIsListed(t *testing.T) {
	is := is.New(t)
	all := newInstances(4)
	m := newMembers(&listAPI{list: platform.Inventory{Instances: all[:3]}}, all[3], 2)
	is.True(m.IsHome("orders"))
	is.NoErr(m.Refresh(context.Background()))
	is.Equal(len(m.Live()), 4)
	is.Equal(len(m.Peers()), 3)
	is.True(m.IsHome("orders"))
	m.SetDraining()
	is.True(m.Self().Leaving)
	is.Equal(len(m.Live()), 3)
	is.True(!m.IsHome("orders"))
}

// The platform lists an upstream as leaving. This instance must see it within two seconds, so
// that the upstream gets no new work.
func TestLeavingUpstreamIsKnownWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := newInstances(3)
		api := &listAPI{list: platform.Inventory{Instances: all}}
		m := newMembers(api, all[0], 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		synctest.Wait()
		for range 20 {
			api.set(platform.Inventory{Instances: all, Upstreams: []platform.Upstream{{Address: "10.0.1.1:5432", Leaving: true}}}, nil)
			time.Sleep(1500 * time.Millisecond)
			is.True(m.IsUpstreamLeaving("10.0.1.1:5432"))
			is.True(!m.IsUpstreamLeaving("10.0.1.2:5432"))
			api.set(platform.Inventory{Instances: all}, nil)
			time.Sleep(1500 * time.Millisecond)
			is.True(!m.IsUpstreamLeaving("10.0.1.1:5432"))
		}
		cancel()
		<-done
	})
}

// The platform fails and then returns an empty list, as after a restart. The last good list
// must stay in use throughout, and with it the homes of each group, so that callers notice
// nothing.
func TestLastGoodListSurvivesOutage(t *testing.T) {
	is := is.New(t)
	all := newInstances(6)
	api := &listAPI{list: platform.Inventory{Instances: all, Upstreams: []platform.Upstream{{Address: "u", Leaving: true}}}}
	m := newMembers(api, all[0], 1)
	is.NoErr(m.Refresh(t.Context()))
	before := m.Homes("orders")
	api.set(platform.Inventory{}, platform.ErrUnavailable)
	is.True(m.Refresh(t.Context()) != nil)
	api.set(platform.Inventory{}, nil)
	is.True(m.Refresh(t.Context()) != nil)
	is.Equal(m.Homes("orders"), before)
	is.True(m.IsUpstreamLeaving("u"))
}

func TestHomesPerFailureDomain(t *testing.T) {
	is := is.New(t)
	all := newInstances(8)
	api := &listAPI{list: platform.Inventory{Instances: all}}
	views := make([]*Members, len(all))
	for i := range all {
		views[i] = newMembers(api, all[i], 2)
		is.NoErr(views[i].Refresh(t.Context()))
	}
	for g := range 50 {
		group := fmt.Sprintf("group-%d", g)
		homes := 0
		for _, m := range views {
			is.Equal(m.HomesRanked(group), views[0].HomesRanked(group))
			is.Equal(m.Homes(group)[0].FailureDomain, m.Self().FailureDomain)
			if m.IsHome(group) {
				homes++
				is.Equal(m.Homes(group)[0].ID, m.Self().ID)
			}
		}
		is.Equal(homes, 6)
	}
}

// One instance of thirty leaves. Only the groups it was a home of may move; all others must
// keep their homes, so that a departure causes no wave of reconnections.
func TestDepartureMovesOnlyAffectedGroups(t *testing.T) {
	is := is.New(t)
	all := newInstances(30)
	before := newSnapshot(all[0], newList(all, nil, time.Time{}), placements{defaultCount: 2})
	after := newSnapshot(all[0], newList(all[:29], nil, time.Time{}), placements{defaultCount: 2})
	for g := range 500 {
		group := fmt.Sprintf("group-%d", g)
		old := before.homesOf(group).ranked
		moved := 0
		for _, h := range after.homesOf(group).ranked {
			if !contains(old, h.ID) {
				moved++
			}
		}
		if contains(old, all[29].ID) {
			is.Equal(moved, 1)
		} else {
			is.Equal(moved, 0)
		}
	}
}

func contains(list []platform.Instance, id string) bool {
	for _, i := range list {
		if i.ID == id {
			return true
		}
	}
	return false
}

// Instances join, leave and change repeatedly while homes are requested. Homes reused from an
// older snapshot must equal those computed from scratch.
func TestReusedHomesMatchRecomputedHomes(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(7, 7))
	all := newInstances(40)
	api := &listAPI{list: platform.Inventory{Instances: all}}
	m := newMembers(api, all[0], 2)
	for range 200 {
		listed := make([]platform.Instance, 0, len(all))
		for _, i := range all {
			if r.IntN(20) > 0 {
				i.PeerAddress = fmt.Sprintf("10.0.0.%d:1", r.IntN(30)/29)
				listed = append(listed, i)
			}
		}
		api.set(platform.Inventory{Instances: listed}, nil)
		is.NoErr(m.Refresh(t.Context()))
		fresh := newSnapshot(all[0], newList(listed, nil, time.Time{}), placements{defaultCount: 2})
		for g := range 30 {
			group := fmt.Sprintf("group-%d", g)
			is.Equal(m.HomesRanked(group), fresh.homesOf(group).ranked)
			is.Equal(m.Homes(group), fresh.homesOf(group).nearest)
			is.Equal(m.IsHome(group), fresh.homesOf(group).includesSelf)
		}
	}
}

func TestSubscribersAreCalledOnChangesOnly(t *testing.T) {
	is := is.New(t)
	all := newInstances(3)
	api := &listAPI{list: platform.Inventory{Instances: all}}
	m := newMembers(api, all[0], 1)
	calls := 0
	m.Subscribe(func() { calls++ })
	is.NoErr(m.Refresh(t.Context()))
	is.NoErr(m.Refresh(t.Context()))
	is.Equal(calls, 1)
}

// BenchmarkHomes computes the homes of one group that is not cached.
func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{100, 1000, 7400} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			all := newInstances(n)
			s := newSnapshot(all[0], newList(all, nil, time.Time{}), placements{defaultCount: 1})
			for b.Loop() {
				s.newHomeSet("orders-1")
			}
		})
	}
}

// BenchmarkChange applies a list in which one instance has left and another has joined, with
// the homes of 15,000 groups cached.
func BenchmarkChange(b *testing.B) {
	const groups = 15_000
	for _, n := range []int{100, 1000, 7400} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			all := newInstances(n + 1)
			lists := []list{newList(all[:n], nil, time.Time{}), newList(all[1:], nil, time.Time{})}
			s := newSnapshot(all[1], lists[0], placements{defaultCount: 1})
			for g := range groups {
				s.homesOf(fmt.Sprintf("group-%d", g))
			}
			for i := 0; b.Loop(); i++ {
				next := newSnapshot(all[1], lists[(i+1)%2], placements{defaultCount: 1})
				next.reuseHomes(s)
				for g := range groups {
					next.homesOf(fmt.Sprintf("group-%d", g))
				}
				s = next
			}
		})
	}
}
