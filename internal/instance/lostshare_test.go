package instance

import (
	"testing"
	"time"
)

// Guards against an idle transaction that nobody rolls back once the home has lost its share: its
// connection then keeps the home from taking a share again.
func TestIdleTransactionEndsAfterLostShare(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tx, err := c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tc.is.NoErr(err)
		h := tc.instances[0].home(testGroup)
		h.shareChanged(false)
		tc.is.Equal(h.executor.OpenTransactions(), 1)
		time.Sleep(h.executor.Service().Limits.TransactionIdleTimeout + 5*time.Second)
		tc.is.Equal(h.executor.OpenTransactions(), 0)
		tc.is.Equal(h.pool.Stats().InUse, 0)
	})
}
