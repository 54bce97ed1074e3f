package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The primary dies and nobody replaces it. Two of three members are left: what they
// report reaches past all that was acknowledged, and callers can go on reading by it.
func TestFloorNeedsNoPrimary(t *testing.T) {
	watched(t, 3, func(x *fixture) {
		is := is.New(t)
		mark := x.write(0)
		is.NoErr(x.w.Confirm(x.t.Context(), mark))
		x.nodes[0].Stop()
		x.after(time.Second)
		asked := time.Now()
		ctx, cancel := context.WithTimeout(x.t.Context(), time.Second)
		defer cancel()
		floor, err := x.w.Floor(ctx)
		is.NoErr(err)
		is.True(!floor.Less(mark))
		kept, ok := x.w.Proven(asked)
		is.True(ok)
		is.Equal(kept, floor)
	})
}

// Two of three members are gone. The last one may lack what the others acknowledged, and
// no floor is told.
func TestFloorNeedsAMajority(t *testing.T) {
	watched(t, 3, func(x *fixture) {
		is := is.New(t)
		x.write(0)
		x.nodes[0].Stop()
		x.nodes[1].Stop()
		x.after(time.Second)
		ctx, cancel := context.WithTimeout(x.t.Context(), 2*time.Second)
		defer cancel()
		_, err := x.w.Floor(ctx)
		is.True(err != nil)
	})
}

// The primary answers and its replicas get on. A floor is then its confirmed position,
// and not a position that it alone has.
func TestFloorOfAHealthyGroupIsConfirmed(t *testing.T) {
	watched(t, 3, func(x *fixture) {
		is := is.New(t)
		mark := x.write(0)
		floor, err := x.w.Floor(x.t.Context())
		is.NoErr(err)
		is.Equal(floor, mark)
		is.NoErr(x.w.Confirm(x.t.Context(), floor))
	})
}
