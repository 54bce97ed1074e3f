package instance

import (
	"testing"
	"time"

	"github.com/topazrock/topazrock/internal/callers"
)

// A caller of an instance that is not home to the group is idle in a transaction at a home that is
// stopped as planned. Guards against a stop that waits for the transaction's connection, which
// nobody gives back, until the process is killed.
func TestIdleTransactionOfAPeersCallerDoesNotDelayTheStop(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		at := tc.nonHome()
		c := tc.mustConnect(at, "")
		tx, err := c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tc.is.NoErr(err)
		home := tc.homeInDomainOf(at)
		tc.draining[home] = true
		tc.stop[home]()
		began := time.Now()
		time.Sleep(defaultDrainTimeout / 2)
		_, err = tx.Exec(ctx, "SELECT 1")
		tc.is.NoErr(err)
		err = <-tc.runErrors[home]
		took := time.Since(began)
		tc.runErrors[home] <- err
		tc.t.Logf("the stop took %v", took)
		tc.is.True(took <= defaultDrainTimeout+callers.FinalReplyTimeout+peerLinger)
	})
}
