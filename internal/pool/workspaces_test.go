package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/wire"
)

// withPool runs f in virtual time with a pool that may hold perMember connections to each
// member; zero means no limit.
func withPool(t *testing.T, perMember int, f func(t *testing.T, is *is.I, members *fakeMembers, p *Limited)) {
	synctest.Test(t, func(t *testing.T) {
		members := newFakeMembers()
		p := members.newPool(100)
		defer closePool(t, p)
		p.SetMemberLimit(perMember)
		f(t, is.New(t), members, p)
	})
}

// acquireFor acquires a connection of a workspace or fails the test.
func acquireFor(t *testing.T, p *Limited, workspace string) wire.Conn {
	t.Helper()
	c, err := p.Acquire(t.Context(), firstMember, workspace)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A connection must not serve another workspace than the one that it was opened for.
func TestConnectionServesItsWorkspaceAlone(t *testing.T) {
	withPool(t, 0, func(t *testing.T, is *is.I, members *fakeMembers, p *Limited) {
		north := acquireFor(t, p, "north")
		p.Release(north)
		south := acquireFor(t, p, "south")
		is.True(south != north)
		again := acquireFor(t, p, "north")
		is.Equal(again, north)
		p.Release(south)
		p.Release(again)
		is.Equal(members.openings, 2)
	})
}

// A workspace must not wait forever at a member where all connections are idle ones of
// other workspaces: the least recently used one is closed, and the limit is never exceeded.
func TestLeastRecentlyUsedIsEvictedForAnotherWorkspace(t *testing.T) {
	withPool(t, 3, func(t *testing.T, is *is.I, members *fakeMembers, p *Limited) {
		for _, workspace := range []string{"a", "b", "c"} {
			p.Release(acquireFor(t, p, workspace))
			_ = clock.Sleep(t.Context(), clock.System{}, time.Second)
		}
		p.Release(acquireFor(t, p, "a"))
		p.Release(acquireFor(t, p, "d"))
		is.Equal(members.openings, 4)
		p.Release(acquireFor(t, p, "a"))
		p.Release(acquireFor(t, p, "c"))
		is.Equal(members.openings, 4)
		p.Release(acquireFor(t, p, "b"))
		is.Equal(members.openings, 5)
		is.True(members.maxTotal <= 3)
	})
}

// An idle connection must not be closed for another workspace while a request of its own
// workspace waits for it.
func TestConnectionWithAWaiterMakesNoRoom(t *testing.T) {
	withPool(t, 1, func(t *testing.T, is *is.I, members *fakeMembers, p *Limited) {
		held := acquireFor(t, p, "a")
		got := make(chan string, 2)
		wait := func(workspace string) {
			c, err := p.Acquire(t.Context(), firstMember, workspace)
			is.NoErr(err)
			got <- workspace
			_ = clock.Sleep(t.Context(), clock.System{}, time.Millisecond)
			p.Release(c)
		}
		go wait("b")
		synctest.Wait()
		go wait("a")
		synctest.Wait()
		p.Release(held)
		is.Equal(<-got, "a")
		is.Equal(<-got, "b")
		is.Equal(members.openings, 2)
		_ = clock.Sleep(t.Context(), clock.System{}, time.Second)
	})
}

// Trimming must not close the only connection of a workspace that is used every few
// seconds.
func TestTrimKeepsOneConnectionPerWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		cfg := members.config(100)
		cfg.TrimInterval = time.Second
		p := New(cfg)
		defer closePool(t, p)
		first, second := acquireFor(t, p, "a"), acquireFor(t, p, "a")
		p.Release(first)
		p.Release(second)
		p.Release(acquireFor(t, p, "b"))
		_ = clock.Sleep(t.Context(), clock.System{}, 5*time.Second)
		is.Equal(members.count(), 2)
		p.Release(acquireFor(t, p, "a"))
		p.Release(acquireFor(t, p, "b"))
		is.Equal(members.openings, 3)
	})
}

// Requests of many workspaces must not starve each other at a member's limit: each is
// served within a few openings.
func TestManyWorkspacesTakeTurns(t *testing.T) {
	withPool(t, 6, func(t *testing.T, is *is.I, members *fakeMembers, p *Limited) {
		done := make(chan error)
		for n := range 75 {
			go func() {
				c, err := p.Acquire(t.Context(), firstMember, fmt.Sprint(n))
				if err == nil {
					_ = clock.Sleep(t.Context(), clock.System{}, 5*time.Millisecond)
					p.Release(c)
				}
				done <- err
			}()
		}
		for range 75 {
			is.NoErr(<-done)
		}
		is.True(members.maxTotal <= 6)
	})
}
