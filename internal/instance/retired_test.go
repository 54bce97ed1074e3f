package instance

import (
	"strings"
	"testing"
	"time"
)

// reorderMembers applies a document that lists the members of the group in another order, so
// that every instance replaces its home.
func (tc *testCluster) reorderMembers() {
	first, second := testDomains[0]+"/"+memberAddress(0), testDomains[1]+"/"+memberAddress(1)
	current, ok := tc.instances[0].store.Current("base")
	tc.is.True(ok)
	text := strings.Replace(current.Text, first+", "+second, second+", "+first, 1)
	tc.is.True(text != current.Text)
	tc.apply(text, current.Version)
}

// Guards against a transaction that outlives its retired home: its connection was never given
// back, and the instance could not be home to the group again.
func TestTransactionThatOutlivesRetiredHomeIsRolledBack(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tx, err := c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, "UPDATE kv SET v = '2' WHERE k = 'a'")
		tc.is.NoErr(err)
		tc.reorderMembers()
		for start := time.Now(); time.Since(start) < retireTimeout-time.Second; time.Sleep(time.Second) {
			_, err = tx.Exec(ctx, "SELECT 1")
			tc.is.NoErr(err)
		}
		time.Sleep(5 * time.Second)
		tc.is.True(tc.instances[0].home(testGroup) != nil)
		_, err = tx.Exec(ctx, "SELECT 1")
		tc.is.Equal(sqlState(err), "TD025")
		tc.is.NoErr(tx.Rollback(ctx))
		tc.is.Equal(tc.readValue(c, "a", freshReadTag), "1")
	})
}
