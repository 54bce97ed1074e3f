package bench

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The primary is killed while its replicas lag. If the primary's response alone is
// enough to acknowledge a write, acknowledged writes are lost with the primary;
// topazrock acknowledges only writes that a replica holds. The bench must detect the
// loss in the first case and find none in the second.
func TestPrimaryAckLosesWritesThatConfirmationKeeps(t *testing.T) {
	for baseline, loses := range map[Baseline]bool{"": false, BaselinePrimaryAck: true} {
		is := is.New(t)
		r, err := Run(t.Context(), Config{
			Profile: ProfileLentes, Duration: 2 * time.Second, Seed: 1, Fault: FaultPrimaryKill, Baseline: baseline,
			Sessions: 12, ThinkTime: 10 * time.Millisecond, ReplicationLag: 200 * time.Millisecond, StatementCost: DefaultStatementCost,
			Progress: io.Discard, Logs: io.Discard, small: true,
		})
		is.NoErr(err)
		t.Logf("baseline %q: %d of %d acknowledged writes lost", baseline, r.AckedLost, r.WritesAcked)
		is.Equal(r.AckedLost > 0, loses)
	}
}
