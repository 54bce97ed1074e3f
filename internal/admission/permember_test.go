package admission

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
)

func newPerMember(slots int) *PerMember {
	return NewPerMember(Config{Group: "contracts", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2)), Slots: slots})
}

// at is a request for a member.
func forMember(r Request, member string) Request {
	r.Member = member
	return r
}

// A replica hangs with its only slot in use and a read waiting. A write for the
// primary is let in at once: slots of one member are not taken by another's queue.
func TestSlotsOfOneMemberAreItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPerMember(1)
		held, err := p.Enter(t.Context(), forMember(lookup, "replica"))
		is.NoErr(err)
		waiting := make(chan *Slot)
		go func() {
			release, err := p.Enter(context.Background(), forMember(lookup, "replica"))
			if err == nil {
				waiting <- release
			}
		}()
		synctest.Wait()
		is.Equal(p.Waiting("replica"), 1)
		began := time.Now()
		release, err := p.Enter(t.Context(), forMember(renewal, "primary"))
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		release.Release()
		held.Release()
		(<-waiting).Release()
	})
}

// More connections to each member become this instance's. Those that wait are let in
// at once, and members first met later have as many.
func TestSlotsOfAllMembersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPerMember(1)
		held, err := p.Enter(t.Context(), forMember(lookup, "first"))
		is.NoErr(err)
		waiting := make(chan *Slot, 1)
		go func() {
			release, err := p.Enter(context.Background(), forMember(lookup, "first"))
			if err == nil {
				waiting <- release
			}
		}()
		synctest.Wait()
		p.SetSlots(2)
		(<-waiting).Release()
		held.Release()
		for range 2 {
			release, err := p.Enter(t.Context(), forMember(lookup, "second"))
			is.NoErr(err)
			defer release.Release()
		}
		is.Equal(p.Waiting("second"), 0)
	})
}
