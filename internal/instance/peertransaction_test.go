package instance

import (
	"testing"
	"time"
)

// A caller of an instance that is not home to the group is in a transaction at a home that is
// stopped as planned. Guards against a home that ends long before its drain times out, with the
// transactions of other instances' callers.
func TestTransactionOfAPeersCallerEndsBeforeItsHome(t *testing.T) {
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
		for range 5 {
			time.Sleep(time.Second)
			_, err = tx.Exec(ctx, "UPDATE kv SET v = '2' WHERE k = 'a'")
			tc.is.NoErr(err)
		}
		tc.is.NoErr(tx.Commit(ctx))
		tc.is.Equal(tc.readValue(c, "a", freshReadTag), "2")
	})
}
