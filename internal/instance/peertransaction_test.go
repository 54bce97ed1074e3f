package instance

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/topazrock/topazrock/internal/callers"
)

// stopHomeOfTransaction opens a transaction for a caller of an instance that is not home to the
// group, and stops the home at which it is open. It returns that home, the caller's connection and
// the transaction.
func (tc *testCluster) stopHomeOfTransaction() (home int, c *pgx.Conn, tx pgx.Tx) {
	at := tc.nonHome()
	c = tc.mustConnect(at, "")
	tx = tc.beginUpdate(c)
	home = tc.homeInDomainOf(at)
	tc.draining[home] = true
	tc.stop[home]()
	return home, c, tx
}

// A caller of an instance that is not home to the group is in a transaction at a home that is
// stopped as planned. Guards against a home that ends long before its drain times out, with the
// transactions of other instances' callers.
func TestTransactionOfAPeersCallerEndsBeforeItsHome(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		_, c, tx := tc.stopHomeOfTransaction()
		for range 5 {
			time.Sleep(time.Second)
			_, err := tx.Exec(ctx, "UPDATE kv SET v = '2' WHERE k = 'a'")
			tc.is.NoErr(err)
		}
		tc.is.NoErr(tx.Commit(ctx))
		tc.is.Equal(tc.readValue(c, "a", freshReadTag), "2")
	})
}

// A caller of an instance that is not home to the group is idle in a transaction at a home that is
// stopped as planned. Guards against a stop that waits for the transaction's connection, which
// nobody gives back, until the process is killed.
func TestIdleTransactionOfAPeersCallerDoesNotDelayTheStop(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		began := time.Now()
		home, _, tx := tc.stopHomeOfTransaction()
		time.Sleep(defaultDrainTimeout / 2)
		_, err := tx.Exec(ctx, "SELECT 1")
		tc.is.NoErr(err)
		err = <-tc.runErrors[home]
		took := time.Since(began)
		tc.runErrors[home] <- err
		tc.t.Logf("the stop took %v", took)
		tc.is.True(took <= defaultDrainTimeout+callers.FinalReplyTimeout+peerLinger)
	})
}
