package failover

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/platform"
	standin "github.com/topazrock/topazrock/internal/standin/platform"
)

// unreadableRecords are values of a group's object that another writer may have left.
var unreadableRecords = []string{"", "nonsense", "[]", "7", `"x"`, `{"term":-1}`, `{"term":1e30}`, `{"term":"1"}`, `{"term":18446744073709551615}`,
	`{"term":1,"number":18446744073709551615}`, `{"term":1,"number":-1}`, `{"term":1,"cause":{}}`, "{\"claim\":\"\xc3"}

// Guards against a group whose lost primary is never replaced because its record cannot be read, and against
// a claim that replaces an announced one early or has a lower fencing token.
func TestUnreadableRecordIsReplacedOnceItsClaimHasExpired(t *testing.T) {
	for _, value := range unreadableRecords {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := standin.NewStore()
				first, _ := newStoreClaimer(s, 1)
				second, _ := newStoreClaimer(s, 2)
				held, err := first.claimOnce()
				is.NoErr(err)
				odd, err := s.Put(context.Background(), platform.KindGroup, "g", []byte(value), held.version)
				is.NoErr(err)
				began := time.Now()
				var won claim
				for won, err = second.claimOnce(); errors.Is(err, ErrRivalClaim) && time.Since(began) < time.Minute; won, err = second.claimOnce() {
					time.Sleep(100 * time.Millisecond)
				}
				is.NoErr(err)
				is.True(time.Since(began) >= second.claimer.Settings.AnnouncedTimeout)
				is.True(time.Since(began) < second.claimer.Settings.AnnouncedTimeout+2*time.Second)
				is.True(won.record.Number > held.record.Number)
				is.True(won.record.Number > uint64(odd.Version))
				is.True(won.record.Term > first.claimer.View.Snapshot().Term)
				// The claimer whose record was replaced cannot announce a promotion any more.
				_, err = first.claimer.storeRecord(context.Background(), held.record, held.version)
				is.True(errors.Is(err, platform.ErrConflict))
			})
		})
	}
}
