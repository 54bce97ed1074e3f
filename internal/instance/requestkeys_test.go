package instance

import (
	"testing"
	"time"
)

const payFee = "INSERT INTO kv (k, v) VALUES ('fee', 'paid') /*request='fee-payment',key='42'*/"

// A caller pays a fee and sends the same request again through another instance. The second
// request is told that it ran already, and runs nothing.
func TestSecondArrivalIsToldThatItRan(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		tc.exec(tc.mustConnect(0, ""), payFee)
		c := tc.mustConnect(1, "")
		_, err := c.Exec(ctx, payFee)
		tc.is.Equal(sqlState(err), "TR001")
		tc.is.Equal(tc.readValue(c, "fee", freshReadTag), "paid")
	})
}

// The answer to a payment is lost because the connection to the primary becomes silent
// right after the commit. The instance determines the outcome itself: the caller is told
// that the payment ran, or that it never will, and never that it can be repeated.
func TestLostAnswerIsSettled(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tc.nodes[0].SetHook(func(point string) {
			if point == "commit.after_before_answer" {
				tc.nodes[0].SetHook(func(string) {})
				tc.net.BlackholeConnections(instanceHost(0), memberHost(0))
			}
		})
		_, err := c.Exec(ctx, payFee)
		tc.is.Equal(sqlState(err), "TR001")
		tc.is.Equal(tc.readValue(tc.mustConnect(1, ""), "fee", freshReadTag), "paid")
	})
}

// The primary fails before a payment commits. The request's key is then blocked at the new
// primary, which proves that the payment can never run. A later request with the same key
// gets the same result.
func TestPaymentThatDiedWithItsPrimaryNeverRuns(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(1, "")
		tc.nodes[0].SetHook(func(point string) {
			if point == "commit.before" {
				tc.nodes[0].SetHook(func(string) {})
				go tc.nodes[0].Kill()
				time.Sleep(time.Second)
			}
		})
		_, err := c.Exec(ctx, payFee)
		tc.is.Equal(sqlState(err), "TD020")
		later := tc.mustConnect(2, "")
		_, err = later.Exec(ctx, payFee)
		tc.is.Equal(sqlState(err), "TD020")
		tc.is.Equal(tc.count(later), 0)
	})
}

// A payment inside a caller's own transaction uses up its key only if the transaction
// commits.
func TestKeyInTheCallersTransaction(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tx, err := c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, payFee)
		tc.is.NoErr(err)
		tc.is.NoErr(tx.Rollback(ctx))
		tc.is.Equal(tc.count(c), 0)
		tx, err = c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, payFee)
		tc.is.NoErr(err)
		tc.is.NoErr(tx.Commit(ctx))
		tx, err = c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, payFee)
		tc.is.Equal(sqlState(err), "TR001")
		_, err = tx.Exec(ctx, "SELECT 1")
		tc.is.Equal(sqlState(err), "25P02")
		tc.is.NoErr(tx.Rollback(ctx))
		tc.is.Equal(tc.readValue(c, "fee", freshReadTag), "paid")
	})
}

// The primary is cut off while callers write to it, and a new primary takes over within a
// second. Units that wait for the lost primary must end then, instead of holding the home's
// slots until the statement timeout of five seconds: another caller's write succeeds in the
// meantime.
func TestUnitsAtALostPrimaryReleaseTheirSlots(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		waiting := make(chan time.Duration, 3)
		for range 3 {
			c := tc.mustConnect(1, "")
			go func() {
				start := time.Now()
				_, _ = c.Exec(ctx, "SELECT pg_sleep(0.3)")
				waiting <- time.Since(start)
			}()
		}
		time.Sleep(50 * time.Millisecond)
		tc.cutDomain()
		time.Sleep(1500 * time.Millisecond)
		tc.exec(tc.mustConnect(1, ""), "INSERT INTO kv (k, v) VALUES ('a', '1')")
		for range 3 {
			tc.is.True(<-waiting < 2*time.Second)
		}
	})
}

// The primary fails and a caller writes during the failover. The write was not sent yet, so
// it waits for the new primary and runs there once. If there is no new primary, because two
// of three members are down, a caller is refused after the time that a failover takes, and
// later ones immediately.
func TestWriteWaitsForFailover(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(1, "")
		tc.killMember(0)
		time.Sleep(100 * time.Millisecond)
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tc.is.Equal(tc.readValue(c, "a", freshReadTag), "1")
		tc.killMember(1)
		tc.killMember(2)
		time.Sleep(2 * time.Second)
		_, err := c.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('b', '1')")
		tc.is.Equal(sqlState(err), "TD004")
		start := time.Now()
		_, err = c.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('c', '1')")
		tc.is.Equal(sqlState(err), "TD004")
		tc.is.True(time.Since(start) < 50*time.Millisecond)
	})
}

// A payment runs in a caller's own transaction, and the answer to its COMMIT is lost. The
// key's row is part of that transaction, so the instance can determine that it ran, or, if
// the primary failed before the commit, that it never will.
func TestLostCommitOfAKeyedTransactionIsSettled(t *testing.T) {
	for point, want := range map[string]string{"commit.after_before_answer": "TR001", "commit.before": "TD020"} {
		t.Run(point, func(t *testing.T) {
			withCluster(t, func(tc *testCluster) {
				c := tc.mustConnect(1, "")
				tx, err := c.Begin(ctx)
				tc.is.NoErr(err)
				_, err = tx.Exec(ctx, payFee)
				tc.is.NoErr(err)
				tc.nodes[0].SetHook(func(at string) {
					if at != point {
						return
					}
					tc.nodes[0].SetHook(nil)
					if point == "commit.before" {
						tc.killMember(0)
						time.Sleep(time.Second)
						return
					}
					tc.net.BlackholeConnections(instanceHost(1), memberHost(0))
				})
				tc.is.Equal(sqlState(tx.Commit(ctx)), want)
				tc.is.Equal(c.PgConn().TxStatus(), byte('I'))
				rows := 0
				if want == "TR001" {
					rows = 1
				}
				tc.is.Equal(tc.count(tc.mustConnect(2, "")), rows)
			})
		})
	}
}

// A failure domain is cut off while its callers wait for answers of the primary, which is
// in another failure domain and remains the only one they know. Their units must end after
// the time that a failover takes rather than the statement timeout, and callers that connect
// later are refused immediately.
func TestCutOffDomainRefusesItsCallersQuickly(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(1, "")
		start := time.Now()
		done := make(chan string)
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(2)")
			done <- sqlState(err)
		}()
		time.Sleep(100 * time.Millisecond)
		for _, in := range []string{memberHost(1), instanceHost(1)} {
			for _, i := range []int{0, 2} {
				tc.net.Cut(in, memberHost(i))
				tc.net.Cut(in, instanceHost(i))
			}
		}
		tc.views[1].SetDisconnected(true)
		tc.is.Equal(<-done, "TU003")
		tc.is.True(time.Since(start) < 2*time.Second)
		start = time.Now()
		_, err := tc.mustConnect(1, "").Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tc.is.Equal(sqlState(err), "TD004")
		tc.is.True(time.Since(start) < 200*time.Millisecond)
	})
}
