package failover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// newStoreClaimer returns the monitor of an instance that has lost the primary of term 1, and its
// connection to the store.
func newStoreClaimer(s *standin.Store, k int) (*primaryMonitor, *standin.View) {
	view := standin.NewView(s)
	return newPrimaryMonitor(New(Config{
		Group: "g", Self: platform.Instance{ID: fmt.Sprint("i", k)}, View: &fixedView{snapshot: lostPrimary(1)}, Platform: view,
		Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, uint64(k))),
	})), view
}

func (m *primaryMonitor) claimOnce() (claim, error) {
	return m.claimTerm(context.Background(), m.claimer.View.Snapshot(), assessment{cause: CauseLost})
}

// claimAfterExpiry claims the term once the pending claim has expired.
func (m *primaryMonitor) claimAfterExpiry(is *is.I) claim {
	_, err := m.claimOnce()
	is.True(errors.Is(err, ErrRivalClaim))
	time.Sleep(10 * time.Second)
	won, err := m.claimOnce()
	is.NoErr(err)
	return won
}

// Guards against a second holder of a term whose claim the store has lost while its claimer acts,
// and against a fencing token that is not above the lost one.
func TestLostClaimKeepsItsTermUntilItsAttemptEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore()
		first, _ := newStoreClaimer(s, 1)
		second, _ := newStoreClaimer(s, 2)
		held, err := first.claimOnce()
		is.NoErr(err)
		time.Sleep(300 * time.Millisecond)
		s.ReturnFromCopy(time.Second)
		_, err = second.claimOnce()
		is.True(errors.Is(err, errForgottenClaim))
		attemptEnd := held.age.StartedAt().Add(first.claimer.Settings.AttemptTimeout)
		for errors.Is(err, errForgottenClaim) {
			time.Sleep(100 * time.Millisecond)
			var won claim
			won, err = second.claimOnce()
			if err == nil {
				is.True(!time.Now().Before(attemptEnd))
				is.True(won.record.Number > held.record.Number)
			}
		}
		is.NoErr(err)
	})
}

// Guards against a fencing token that is given out twice: a claim that was decided before a return
// replaces one that was made after it, under a number that was given out again.
func TestTokenIsNotReusedAfterALateClaimOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore()
		put := func(r Record) platform.Object {
			value, err := r.encode()
			is.NoErr(err)
			current, _ := s.Get(context.Background(), platform.KindGroup, "g")
			o, err := s.Put(context.Background(), platform.KindGroup, "g", value, current.Version)
			is.NoErr(err)
			return o
		}
		put(Record{Term: 1, Number: 1, Claim: "a", Primary: "p"})
		time.Sleep(10 * time.Second)
		put(Record{Term: 1, Number: 1, Claim: "b", Primary: "p"})
		put(Record{Term: 1, Number: 1, Claim: "c", Primary: "p"})

		late, lateView := newStoreClaimer(s, 1)
		current, version, err := late.claimer.readRecord(context.Background())
		is.NoErr(err)
		s.ReturnFromCopy(5 * time.Second)

		rival, _ := newStoreClaimer(s, 2)
		_, err = rival.claimOnce()
		is.True(errors.Is(err, errForgottenClaim))
		time.Sleep(rival.claimer.Settings.AttemptTimeout)
		_, err = rival.claimOnce()
		is.NoErr(err)
		held := rival.claimAfterExpiry(is)
		is.Equal(held.version.Number(), version.Number())

		// The late claimer has not seen the return yet.
		is.Equal(lateView.Eras().Latest(), version.Era())
		_, err = late.putClaim(context.Background(), Record{Term: 2, Number: nextNumber(current, version), Claim: "late"}, version)
		is.True(errors.Is(err, ErrLostClaim))

		third, _ := newStoreClaimer(s, 3)
		won := third.claimAfterExpiry(is)
		is.True(won.record.Number > held.record.Number)
	})
}

// Guards against a store that names the old primary for good after it has lost the record of a
// promotion, and against a second promotion from that record.
func TestRecordOfAPromotionIsRestoredAfterAReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore()
		m, _ := newStoreClaimer(s, 1)
		won, err := m.claimOnce()
		is.NoErr(err)
		m.recorded, m.recordedEra = won.record, won.version.Era()
		m.recorded.Primary = "q"
		_, err = m.claimer.storeRecord(context.Background(), m.recorded, won.version)
		is.NoErr(err)
		s.ReturnFromCopy(time.Second)
		other, _, err := m.claimer.readRecord(context.Background())
		is.NoErr(err)
		is.Equal(other.Primary, "")
		m.restoreRecord(context.Background())
		restored, version, err := m.claimer.readRecord(context.Background())
		is.NoErr(err)
		is.Equal(restored.Primary, "q")
		is.Equal(restored.Term, won.record.Term)
		is.True(restored.Number > won.record.Number)
		m.restoreRecord(context.Background())
		_, again, err := m.claimer.readRecord(context.Background())
		is.NoErr(err)
		is.Equal(again, version)
	})
}
