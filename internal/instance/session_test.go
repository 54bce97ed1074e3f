package instance

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	staleReadTag = " /*request='pending-visits'*/"
	freshReadTag = " /*request='application'*/"
)

func (tc *testCluster) readValue(c *pgx.Conn, key, tag string) string {
	tc.t.Helper()
	var v string
	tc.is.NoErr(c.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1"+tag, key).Scan(&v))
	return v
}

// A caller writes through one instance while the replica in fln-c lags by a second, and
// reads immediately through fln-c with a class that accepts data up to two seconds old. The
// session must see its write with and without a token: the token or the barrier of the
// first read excludes that replica.
func TestRoamingSessionReadsItsOwnWrite(t *testing.T) {
	for name, withToken := range map[string]bool{"with a token": true, "without a token": false} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(tc *testCluster) {
				writer := tc.mustConnect(0, "")
				tc.exec(writer, "INSERT INTO kv (k, v) VALUES ('a', 'old')")
				time.Sleep(time.Second)
				tc.nodes[2].SetReplicationLag(time.Second)
				for i := range 6 {
					tc.exec(writer, "UPDATE kv SET v = $1 WHERE k = 'a'", fmt.Sprint(i))
					readerToken := ""
					if withToken {
						readerToken = token(writer)
					}
					tc.is.Equal(tc.readValue(tc.mustConnect(2, readerToken), "a", staleReadTag), fmt.Sprint(i))
				}
			})
		})
	}
}

// After its first read, a session reads through the same instance with stale data allowed,
// and is served by a replica that has the session's own write.
func TestAgedReadsComeFromReplicas(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		start := time.Now()
		for range 20 {
			tc.is.Equal(tc.readValue(c, "a", staleReadTag), "1")
		}
		tc.is.True(time.Since(start) < time.Second)
		tc.is.True(tc.unitsAnswered("pending-visits", "replica") >= 20)
		tc.is.Equal(tc.unitsAnswered("pending-visits", "primary"), 0.0)
	})
}

// One replica is cut off from its primary and falls behind indefinitely. Reads continue at
// the other one, none waits for the lost replica, and no answer is older than allowed.
func TestReplicaFarBehindTakesNoReads(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', 'old')")
		oldToken := token(c)
		tc.net.Cut(memberHost(0), memberHost(2))
		time.Sleep(3 * time.Second)
		tc.exec(c, "UPDATE kv SET v = 'new' WHERE k = 'a'")
		time.Sleep(3 * time.Second)
		for i := range 3 {
			for range 10 {
				tc.is.Equal(tc.readValue(tc.mustConnect(i, ""), "a", staleReadTag), "new")
			}
			tc.is.Equal(tc.readValue(tc.mustConnect(i, ""), "a", freshReadTag), "new")
			tc.is.Equal(tc.readValue(tc.mustConnect(i, oldToken), "a", staleReadTag), "new")
		}
	})
}

// The primary fails after a session wrote. The session's token belongs to the old term; the
// new primary compares it with the start of the new term, so that the session neither
// misses its write nor waits for a position of the old log.
func TestTokenIsValidAfterFailover(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(1, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		oldToken := token(c)
		tc.nodes[0].Kill()
		time.Sleep(3 * time.Second)
		reader := tc.mustConnect(2, oldToken)
		tc.is.Equal(tc.readValue(reader, "a", staleReadTag), "1")
		tc.exec(reader, "UPDATE kv SET v = '2' WHERE k = 'a'")
		tc.is.Equal(tc.readValue(tc.mustConnect(1, ""), "a", freshReadTag), "2")
	})
}

// Other sessions write continuously and the replicas lag by half a second. A driver
// prepares a session's first read and first write before it runs them. The session must
// then wait for the lag only once for each, because preparing returns no rows and changes
// nothing.
func TestPreparingDoesNotWaitForReplicationLag(t *testing.T) {
	const (
		lag     = 500 * time.Millisecond
		writers = 10
	)
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(2, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		for _, n := range tc.nodes {
			n.SetReplicationLag(lag)
		}
		var wg sync.WaitGroup
		for i := range writers {
			other := tc.mustConnect(i%len(tc.instances), "")
			wg.Go(func() {
				time.Sleep(time.Duration(i) * lag / writers)
				for j := range 8 {
					tc.exec(other, "INSERT INTO kv (k, v) VALUES ($1, 'x')", pgx.QueryExecModeExec, fmt.Sprintf("%d/%d", i, j))
				}
			})
		}
		time.Sleep(2 * lag)
		start := time.Now()
		tc.is.Equal(tc.readValue(c, "a", freshReadTag), "1")
		read := time.Since(start)
		start = time.Now()
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ($1, 'y')", "b")
		write := time.Since(start)
		wg.Wait()
		t.Logf("at a lag of %v the first read took %v, the first write %v", lag, read, write)
		tc.is.True(read < lag+lag/2)
		tc.is.True(write < lag+lag/2)
	})
}
