package instance

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// timeAfterDrain is what the platform leaves an instance between the longest drain and the kill.
const timeAfterDrain = time.Second

// homeOfTransaction returns the instance that holds the group's only open transaction.
func (tc *testCluster) homeOfTransaction() int {
	for i, n := range tc.instances {
		if h := n.home(testGroup); h != nil && h.executor.OpenTransactions() > 0 {
			return i
		}
	}
	tc.t.Fatal("no transaction is open")
	return 0
}

// beginUpdate opens a transaction that has updated a row.
func (tc *testCluster) beginUpdate(c *pgx.Conn) pgx.Tx {
	tx, err := c.Begin(ctx)
	tc.is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	tc.is.NoErr(err)
	return tx
}

// Guards against an instance that is killed after its drain timed out because it waits for a
// transaction of another instance's caller, which nobody can end any more.
func TestStopDoesNotWaitForTransactionOfPeer(t *testing.T) {
	for name, memberHangs := range map[string]bool{"member answers": false, "member hangs": true} {
		t.Run(name, func(t *testing.T) {
			withClusterOf(t, 6, func(tc *testCluster) {
				tx := tc.beginUpdate(tc.mustConnect(tc.nonHome(), ""))
				home := tc.homeOfTransaction()
				tc.draining[home] = true
				if memberHangs {
					tc.net.BlackholeConnections(instanceHost(home), memberHost(0))
				}
				start := time.Now()
				tc.stop[home]()
				err := <-tc.runErrors[home]
				took := time.Since(start)
				tc.runErrors[home] <- err
				tc.is.True(err == nil || errors.Is(err, context.DeadlineExceeded))
				tc.is.True(took < defaultDrainTimeout+timeAfterDrain)
				_, err = tx.Exec(ctx, "SELECT 1")
				tc.is.True(err != nil)
			})
		})
	}
}
