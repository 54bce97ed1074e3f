package instance

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"
)

var ctx = context.Background()

// A caller writes through one instance and reads through another. The second session has no
// token, so the read needs a barrier, and a replica that has the write answers it.
func TestWriteThroughOneReadThroughAnother(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		writer := tc.mustConnect(0, "")
		tc.exec(writer, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tc.is.True(token(writer) != "")
		reader := tc.mustConnect(1, "")
		var v string
		err := reader.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1 /*request='application'*/", "a").Scan(&v)
		tc.is.NoErr(err)
		tc.is.Equal(v, "1")
	})
}

// Two sessions prepare different texts under the same statement name, and units of both
// share a few connections. Each session gets the answer to its own text, because statement
// names on a member's connection are derived from the text.
func TestPreparedStatementsUnderTransactionPooling(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		one, two := tc.mustConnect(0, ""), tc.mustConnect(0, "")
		tc.exec(one, "INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")
		_, err := one.Prepare(ctx, "s", "SELECT v FROM kv WHERE k = $1")
		tc.is.NoErr(err)
		_, err = two.Prepare(ctx, "s", "SELECT k, v FROM kv WHERE k = $1")
		tc.is.NoErr(err)
		for range 3 {
			var k, v string
			tc.is.NoErr(one.QueryRow(ctx, "s", "a").Scan(&v))
			tc.is.NoErr(two.QueryRow(ctx, "s", "a").Scan(&k, &v))
			tc.is.Equal(k+v, "a1")
		}
		_, err = one.Prepare(ctx, "bad", "NONSENSE")
		tc.is.Equal(sqlState(err), "42601")
		tc.is.NoErr(one.QueryRow(ctx, "SELECT 1").Scan(new(int)))
	})
}

// The statements of a transaction see each other, a failed transaction rolls back, and the
// next caller gets the connection without any state of it.
func TestTransactions(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tx, err := c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('a', '2')")
		tc.is.Equal(sqlState(err), "23505")
		_, err = tx.Exec(ctx, "SELECT 1")
		tc.is.Equal(sqlState(err), "25P02")
		tc.is.NoErr(tx.Rollback(ctx))
		tc.is.Equal(tc.count(c), 0)
		tx, err = c.Begin(ctx)
		tc.is.NoErr(err)
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('b', '1')")
		tc.is.NoErr(err)
		tc.is.NoErr(tx.Commit(ctx))
		tc.is.Equal(tc.count(tc.mustConnect(2, "")), 1)
	})
}

// lib/pq uses unnamed statements whose Parse and Bind arrive in different units, which may
// run on different connections. The Bind must still find its statement.
func TestLibPQ(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		connector, err := pq.NewConnector(fmt.Sprintf("postgres://clerk:%s@%s/%s?sslmode=disable", testPassword, instanceAddress(0), testGroup))
		tc.is.NoErr(err)
		connector.Dialer(testDialer{tc})
		db := sql.OpenDB(connector)
		defer db.Close()
		db.SetMaxOpenConns(3)
		_, err = db.Exec("INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")
		tc.is.NoErr(err)
		var v string
		tc.is.NoErr(db.QueryRow("SELECT v FROM kv WHERE k = $1", "a").Scan(&v))
		tc.is.Equal(v, "1")
		stmt, err := db.Prepare("SELECT v FROM kv WHERE k = $1")
		tc.is.NoErr(err)
		tc.is.NoErr(stmt.QueryRow("a").Scan(&v))
		tc.is.NoErr(stmt.Close())
		tx, err := db.Begin()
		tc.is.NoErr(err)
		_, err = tx.Exec("UPDATE kv SET v = $1 WHERE k = $2", "2", "a")
		tc.is.NoErr(err)
		tc.is.NoErr(tx.Commit())
	})
}

// An answer that is many times larger than the buffer arrives complete and in order.
func TestLargeAnswerIsWhole(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		rows, err := c.Query(ctx, "SELECT repeat_rows(5000, 200)")
		tc.is.NoErr(err)
		n := 0
		for rows.Next() {
			n++
		}
		tc.is.NoErr(rows.Err())
		tc.is.Equal(n, 5000)
	})
}

// A caller requests a large answer and never reads it. The instance closes the caller's
// connection at the write timeout, and the member's connection can be used again.
func TestCallerThatReadsNothing(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		conn := c.PgConn().Conn()
		_, err := conn.Write(encodedQuery("SELECT repeat_rows(50000, 200)"))
		tc.is.NoErr(err)
		time.Sleep(15 * time.Second)
		tc.is.Equal(tc.count(tc.mustConnect(0, "")), 0)
		tc.is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = io.Copy(io.Discard, conn)
		tc.is.True(err == nil || !isTimeout(err))
	})
}

// A caller cancels a statement that runs for four seconds. The statement ends within a
// second with the member's own error, even though the cancel request arrived at another
// instance.
func TestCancelThroughAnotherInstance(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		done := make(chan error)
		go func() {
			_, err := c.Exec(ctx, "SELECT pg_sleep(4)")
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		tc.cancelThrough(1, c)
		tc.is.Equal(sqlState(<-done), "57014")
		tc.is.True(time.Since(start) < time.Second)
		tc.is.NoErr(c.Ping(ctx))
	})
}

// A wrong password and an unknown user get the same error. An unknown group gets a different
// one, and so does a token that is invalid or belongs to another group.
func TestStartupRefusals(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		connectError := func(change func(*pgx.ConnConfig)) string {
			c := tc.config(0, "")
			change(c)
			_, err := pgx.ConnectConfig(ctx, c)
			return sqlState(err)
		}
		tc.is.Equal(connectError(func(c *pgx.ConnConfig) { c.Password = "no" }), "28P01")
		tc.is.Equal(connectError(func(c *pgx.ConnConfig) { c.User = "nobody" }), "28P01")
		tc.is.Equal(connectError(func(c *pgx.ConnConfig) { c.Database = "other" }), "TD010")
		tc.is.Equal(connectError(func(c *pgx.ConnConfig) { c.RuntimeParams["topazrock.token"] = "other:1:1" }), "TD012")
		tc.is.Equal(connectError(func(c *pgx.ConnConfig) { c.RuntimeParams["topazrock.token"] = "x" }), "TD012")
	})
}

// A token beyond the end of the log is refused in bounded time: a session must never wait
// for a position that no log reaches.
func TestForgedToken(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		for _, forged := range []string{testGroup + ":1:99999999", testGroup + ":99:1"} {
			c := tc.mustConnect(0, forged)
			start := time.Now()
			_, err := c.Exec(ctx, "SELECT v FROM kv WHERE k = 'a' /*request='pending-visits'*/")
			tc.is.Equal(sqlState(err), "TD013")
			tc.is.True(time.Since(start) < 2*time.Second)
		}
	})
}

// Invalid bytes in place of a start-up packet, an incomplete packet, and a message with a
// wrong length affect only their own connection.
func TestGarbageBytes(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00", "\xff\xff\xff\xff\xff\xff\xff\xff"} {
			conn, err := tc.net.Host(callerHost).Dial(ctx, instanceAddress(0))
			tc.is.NoErr(err)
			_, err = conn.Write([]byte(bytes))
			tc.is.NoErr(err)
			time.Sleep(11 * time.Second)
			_, err = io.ReadAll(conn)
			tc.is.NoErr(err)
		}
		c := tc.mustConnect(0, "")
		_, err := c.PgConn().Conn().Write([]byte("Q\x00\x00\x00\x01"))
		tc.is.NoErr(err)
		_, err = io.ReadAll(c.PgConn().Conn())
		tc.is.NoErr(err)
		tc.is.Equal(tc.count(tc.mustConnect(0, "")), 0)
	})
}

// Tags that name an unknown class, lack a required key, have an overlong key, or are
// malformed are refused before anything is sent to a member.
func TestTagRefusals(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		insert := "INSERT INTO kv (k, v) VALUES ('a', '1') "
		for tag, want := range map[string]string{
			"/*request='none'*/":        "TD024",
			"/*request='fee-payment'*/": "TD015",
			"/*request='fee-payment',key='" + strings.Repeat("x", 300) + "'*/": "TD016",
			"/*request=fee-payment*/":                                               "TD014",
			"/*request='fee-payment',key='a%5Cb'*/":                                 "TD014",
			"/*request='fee-payment',key='it%27s'*/":                                "",
			"/*request='note',traceparent='00-aa-bb-01'*/ ON CONFLICT DO NOTHING -": "42601",
		} {
			_, err := c.Exec(ctx, insert+tag)
			tc.is.Equal(sqlState(err), want)
		}
	})
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
