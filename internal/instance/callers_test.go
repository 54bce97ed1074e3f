package instance

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"
	"github.com/topazrock/topazrock/internal/clock"
)

// The test runs the ways to pass a token as docs/CALLERS.md shows them. A session with
// another session's token reads that session's write even in a class that accepts stale
// data. An invalid token is refused, which shows that each way passes the token to the
// instance.
func TestTokenExamplesInCallersGuide(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		writer := tc.mustConnect(0, "")
		tc.exec(writer, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		writerToken := token(writer)
		tc.is.True(writerToken != "")
		for name, read := range map[string]func(*testCluster, string) (string, error){
			"pgx, SET":        readAfterSet,
			"pgx, start-up":   readAfterStartup,
			"lib/pq, options": readThroughLibPQ,
		} {
			v, err := read(tc, writerToken)
			tc.is.NoErr(err)
			tc.is.Equal(v, "1")
			_, err = read(tc, "nonsense")
			if err == nil {
				t.Errorf("%s: a wrong token was not refused", name)
			}
		}
	})
}

const readOldData = "SELECT v FROM kv WHERE k = $1" + staleReadTag

func readAfterSet(tc *testCluster, sessionToken string) (v string, err error) {
	c := tc.mustConnect(1, "")
	if _, err := c.Exec(ctx, "SET topazrock.token = '"+sessionToken+"'"); err != nil {
		return "", err
	}
	err = c.QueryRow(ctx, readOldData, "a").Scan(&v)
	return v, err
}

func readAfterStartup(tc *testCluster, sessionToken string) (v string, err error) {
	config := tc.config(2, "")
	config.RuntimeParams["topazrock.token"] = sessionToken
	c, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	err = c.QueryRow(ctx, readOldData, "a").Scan(&v)
	return v, err
}

func readThroughLibPQ(tc *testCluster, sessionToken string) (v string, err error) {
	dsn := "postgres://clerk:%s@%s/%s?sslmode=disable&options=-c%%20topazrock.token%%3D%s"
	connector, err := pq.NewConnector(fmt.Sprintf(dsn, testPassword, instanceAddress(1), testGroup, sessionToken))
	if err != nil {
		return "", err
	}
	connector.Dialer(testDialer{tc})
	db := sql.OpenDB(connector)
	defer db.Close()
	err = db.QueryRow(readOldData, "a").Scan(&v)
	return v, err
}

// A service that follows the guide sends a payment twice under the same payment number.
// Both calls succeed and one row is written, also when the number contains characters that
// a tag must encode.
func TestPaymentRetryLoopInCallersGuide(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		for _, number := range []string{"2026-0017", "it's, 100%/x"} {
			for i := range 2 {
				tc.is.NoErr(pay(ctx, tc.mustConnect(i, ""), number))
			}
		}
		tc.is.Equal(tc.count(tc.mustConnect(2, "")), 2)
	})
}

// pay is the loop of docs/CALLERS.md on the test cluster's table.
func pay(ctx context.Context, conn *pgx.Conn, number string) error {
	sql := fmt.Sprintf("INSERT INTO kv (k, v) VALUES ($1, 'paid') /*request='fee-payment',key='%s'*/",
		url.PathEscape(number))
	for {
		_, err := conn.Exec(ctx, sql, pgx.QueryExecModeExec, number)
		var e *pgconn.PgError
		if !errors.As(err, &e) {
			return err
		}
		switch {
		case e.Code == "TR001":
			return nil
		case strings.HasPrefix(e.Code, "TU"):
			continue
		case strings.HasPrefix(e.Code, "TD") && retryAfter(e) > 0:
			if err := clock.Sleep(ctx, clock.System{}, retryAfter(e)); err != nil {
				return err
			}
		default:
			return err
		}
	}
}

func retryAfter(e *pgconn.PgError) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(e.Detail, "retry_after_ms="))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
