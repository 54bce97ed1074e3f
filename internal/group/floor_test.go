package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The primary dies and is not replaced. The reports of the remaining two of three members
// cover every acknowledged write, so reads can continue with that position.
func TestFloorNeedsNoPrimary(t *testing.T) {
	withGroup(t, 3, func(x *fixture) {
		is := is.New(t)
		mark := x.write(0)
		is.NoErr(x.w.Confirm(x.t.Context(), mark))
		x.nodes[0].Stop()
		x.advance(time.Second)
		requestedAt := time.Now()
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		defer cancel()
		floor, err := x.w.FetchFloor(ctx)
		is.NoErr(err)
		is.True(!floor.Less(mark))
		proven, ok := x.w.ProvenPosition(requestedAt)
		is.True(ok)
		is.Equal(proven, floor)
	})
}

// Two of three members are down. The remaining one may lack writes that the others
// acknowledged, so no floor is returned.
func TestFloorNeedsAMajority(t *testing.T) {
	withGroup(t, 3, func(x *fixture) {
		is := is.New(t)
		x.write(0)
		x.nodes[0].Stop()
		x.nodes[1].Stop()
		x.advance(time.Second)
		ctx, cancel := context.WithTimeout(x.t.Context(), 2*time.Second)
		defer cancel()
		_, err := x.w.FetchFloor(ctx)
		is.True(err != nil)
	})
}

// The primary answers and its replicas make progress. A floor is then the primary's
// confirmed position, and not a position that only the primary holds.
func TestFloorOfAHealthyGroupIsConfirmed(t *testing.T) {
	withGroup(t, 3, func(x *fixture) {
		is := is.New(t)
		mark := x.write(0)
		floor, err := x.w.FetchFloor(x.t.Context())
		is.NoErr(err)
		is.Equal(floor, mark)
		is.NoErr(x.w.Confirm(x.t.Context(), floor))
	})
}
