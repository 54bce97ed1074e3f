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

// forMember returns r addressed to a member.
func forMember(r Request, member string) Request {
	r.Member = member
	return r
}

// A replica hangs with its only slot in use and a read waiting. A write for the primary is
// admitted immediately: the queue of one member does not use the slots of another.
func TestMembersHaveSeparateSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPerMember(1)
		held, err := p.Acquire(t.Context(), forMember(lookup, "replica"))
		is.NoErr(err)
		waiting := make(chan *Slot)
		go func() {
			slot, err := p.Acquire(context.Background(), forMember(lookup, "replica"))
			if err == nil {
				waiting <- slot
			}
		}()
		synctest.Wait()
		is.Equal(p.Waiting("replica"), 1)
		began := time.Now()
		slot, err := p.Acquire(t.Context(), forMember(renewal, "primary"))
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		slot.Release()
		held.Release()
		(<-waiting).Release()
	})
}

// The instance is assigned more connections to each member. Waiting requests are admitted
// immediately, and members used for the first time later have the same number of slots.
func TestSetSlotsAppliesToAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPerMember(1)
		held, err := p.Acquire(t.Context(), forMember(lookup, "first"))
		is.NoErr(err)
		waiting := make(chan *Slot, 1)
		go func() {
			slot, err := p.Acquire(context.Background(), forMember(lookup, "first"))
			if err == nil {
				waiting <- slot
			}
		}()
		synctest.Wait()
		p.SetSlots(2)
		(<-waiting).Release()
		held.Release()
		for range 2 {
			slot, err := p.Acquire(t.Context(), forMember(lookup, "second"))
			is.NoErr(err)
			defer slot.Release()
		}
		is.Equal(p.Waiting("second"), 0)
	})
}
