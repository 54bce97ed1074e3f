package instance

import (
	"testing"
	"time"
)

// nonHome returns an instance of the cluster that is not home to the group.
func (tc *testCluster) nonHome() int {
	for i, n := range tc.instances {
		if n.home(testGroup) == nil {
			return i
		}
	}
	tc.t.Fatal("every instance is home")
	return 0
}

// homeInDomainOf returns the home in the same failure domain as instance i.
func (tc *testCluster) homeInDomainOf(i int) int {
	return (i + len(testDomains)) % tc.instanceCount
}

// An instance that is not home to the group forwards everything to one that is: writes,
// reads of a session's own writes, transactions, request keys, large answers and cancel
// requests.
func TestEntryInstanceForwardsEverything(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		c := tc.mustConnect(tc.nonHome(), "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")
		tc.is.Equal(tc.readValue(c, "a", staleReadTag), "1")
		tx, err := c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, payFee)
		tc.is.NoErr(err)
		tc.is.NoErr(tx.Commit(ctx))
		_, err = c.Exec(ctx, payFee)
		tc.is.Equal(sqlState(err), "TR001")
		rows, err := c.Query(ctx, "SELECT repeat_rows(5000, 200)")
		tc.is.NoErr(err)
		n := 0
		for rows.Next() {
			n++
		}
		tc.is.NoErr(rows.Err())
		tc.is.Equal(n, 5000)
		done := make(chan error)
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(4)")
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		tc.cancelThrough(tc.homeInDomainOf(tc.nonHome()), c)
		tc.is.Equal(sqlState(<-done), "57014")
	})
}

// The connections between an instance and the homes become silent while a unit is running.
// The caller is told that the outcome is unknown when its class's timeout expires, and the
// next unit uses a new connection.
func TestSilentPeerConnection(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		at := tc.nonHome()
		c := tc.mustConnect(at, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		for i := range tc.instances {
			if i != at {
				tc.net.BlackholeConnections(instanceHost(at), instanceHost(i))
			}
		}
		start := time.Now()
		_, err := c.Exec(ctx, "UPDATE kv SET v = '2' WHERE k = 'a'")
		tc.is.Equal(sqlState(err), "TU005")
		tc.is.True(time.Since(start) < 6*time.Second)
		tc.exec(c, "UPDATE kv SET v = '3' WHERE k = 'a'")
		tc.is.Equal(tc.readValue(c, "a", freshReadTag), "3")
	})
}

// The nearest home is killed. The outcome of its running units is unknown, except in a
// transaction, which is lost with all its units. Later units go to another home.
func TestHomeKilledWhileServingOtherInstances(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		at := tc.nonHome()
		c := tc.mustConnect(at, "")
		tx, err := c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tc.is.NoErr(err)
		tc.killInstance(tc.homeInDomainOf(at))
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('b', '1')")
		tc.is.True(sqlState(err) == "TD025" || sqlState(err) == "TU005")
		_, err = tx.Exec(ctx, "SELECT 1")
		tc.is.Equal(sqlState(err), "25P02")
		tc.is.NoErr(tx.Rollback(ctx))
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('c', '1')")
		tc.is.Equal(tc.readValue(c, "c", freshReadTag), "1")
		time.Sleep(time.Second)
		tc.is.Equal(tc.count(c), 1)
		tc.stop[tc.homeInDomainOf(at)]()
	})
}

// The nearest home drains while callers of another instance write through it. No request
// fails: the home completes the running units, and new units go to another home.
func TestHomeDrainsUnderItsEntries(t *testing.T) {
	withClusterOf(t, 6, func(tc *testCluster) {
		at := tc.nonHome()
		c := tc.mustConnect(at, "")
		tc.draining[tc.homeInDomainOf(at)] = true
		done := make(chan int)
		quit := make(chan struct{})
		go func() {
			n := 0
			for {
				select {
				case <-quit:
					done <- n
					return
				default:
				}
				if _, err := c.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('k', 'x') ON CONFLICT (k) DO UPDATE SET v = EXCLUDED.v"); err != nil {
					tc.t.Errorf("request failed: %v", err)
				}
				n++
			}
		}()
		time.Sleep(200 * time.Millisecond)
		tc.stop[tc.homeInDomainOf(at)]()
		time.Sleep(2 * time.Second)
		close(quit)
		tc.is.True(<-done > 20)
	})
}

// A session begins a transaction and loses it before any statement succeeded, and then
// reads with a class that accepts stale data, in a failure domain whose replica lags. This
// read is still the session's first and must take the barrier.
func TestBeginAloneDoesNotSkipFirstReadBarrier(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		writer := tc.mustConnect(0, "")
		tc.exec(writer, "INSERT INTO kv (k, v) VALUES ('a', 'old')")
		time.Sleep(time.Second)
		tc.nodes[2].SetReplicationLag(time.Second)
		reader := tc.mustConnect(2, "")
		tc.exec(reader, "BEGIN")
		tc.net.BlackholeConnections(instanceHost(2), memberHost(0))
		_, err := reader.Exec(ctx, "SELECT 1")
		tc.is.True(err != nil)
		_, err = reader.Exec(ctx, "ROLLBACK")
		tc.is.NoErr(err)
		tc.exec(writer, "UPDATE kv SET v = 'new' WHERE k = 'a'")
		tc.is.Equal(tc.readValue(reader, "a", staleReadTag), "new")
	})
}
