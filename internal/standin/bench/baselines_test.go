package bench

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The primary dies while its replicas lag. A design that acknowledges on the
// primary's word alone has told callers of writes that died with it; here the
// callers are told only of writes that a replica holds. The bench must see both.
func TestOwnWordLosesWritesThatConfirmationKeeps(t *testing.T) {
	for baseline, loses := range map[Baseline]bool{"": false, BaselineOwnWord: true} {
		is := is.New(t)
		r, err := Run(t.Context(), Config{
			Profile: ProfileLentes, Duration: 2 * time.Second, Seed: 1, Fault: FaultPrimaryKill, Baseline: baseline,
			Sessions: 12, Think: 10 * time.Millisecond, Lag: 200 * time.Millisecond, Cost: DefaultCost,
			Say: io.Discard, Logs: io.Discard, small: true,
		})
		is.NoErr(err)
		t.Logf("baseline %q: %d of %d acknowledged writes lost", baseline, r.AckedLost, r.WritesAcked)
		is.Equal(r.AckedLost > 0, loses)
	}
}
