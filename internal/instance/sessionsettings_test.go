package instance

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// shown returns what a setting is on the connection that runs c's statement.
func (tc *testCluster) showSetting(c *pgx.Conn, name string) string {
	tc.t.Helper()
	var v string
	tc.is.NoErr(c.QueryRow(ctx, "SHOW "+name, pgx.QueryExecModeSimpleProtocol).Scan(&v))
	return v
}

// Three clerks share the connections to the members. One sets its search path,
// one another, one nothing. Each statement of each must run under its own
// clerk's values, whatever connection it gets, and a value taken back must be
// gone. A statement that ran under another's search path would read or write the
// wrong tables.
func TestSessionValuesFollowTheirSession(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		first, second, third := tc.mustConnect(0, ""), tc.mustConnect(0, ""), tc.mustConnect(1, "")
		tc.exec(first, "SET search_path = 'a', b")
		tc.exec(second, "SET SESSION Search_Path TO 'c'")
		tc.exec(second, "SET TIME ZONE 'America/Sao_Paulo'")
		for range 5 {
			tc.is.Equal(tc.showSetting(first, "search_path"), "a, b")
			tc.is.Equal(tc.showSetting(second, "search_path"), "c")
			tc.is.Equal(tc.showSetting(third, "search_path"), "public")
			tc.is.Equal(tc.showSetting(first, "timezone"), "UTC")
			tc.is.Equal(tc.showSetting(second, "timezone"), "America/Sao_Paulo")
		}
		tc.exec(first, "RESET search_path")
		tc.exec(second, "SET search_path TO DEFAULT; RESET TIME ZONE")
		for range 3 {
			tc.is.Equal(tc.showSetting(first, "search_path"), "public")
			tc.is.Equal(tc.showSetting(second, "search_path"), "public")
			tc.is.Equal(tc.showSetting(second, "timezone"), "UTC")
		}
	})
}

// Drivers set values in each way that the protocol has: in a simple query, in a
// prepared statement, at the start of the session. All of them hold for every
// later statement, and DISCARD ALL, which pools of callers send between two
// users, takes all of them back.
func TestSessionValuesInEachWayOfSettingThem(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		config := tc.config(0, "")
		config.RuntimeParams["timezone"] = "Asia/Tokyo"
		config.RuntimeParams["options"] = "-c search_path=s,t"
		config.RuntimeParams["_pq_.extension"] = "1"
		c, err := pgx.ConnectConfig(ctx, config)
		tc.is.NoErr(err)
		tc.callerConns = append(tc.callerConns, c)
		tc.exec(c, "SET work_mem = '8MB'")
		tc.exec(c, "SET statement_timeout TO 700", pgx.QueryExecModeExec)
		other := tc.mustConnect(0, "")
		for range 3 {
			tc.is.Equal(tc.showSetting(other, "work_mem"), "4MB")
			tc.is.Equal(tc.showSetting(c, "timezone"), "Asia/Tokyo")
			tc.is.Equal(tc.showSetting(c, "search_path"), "s, t")
			tc.is.Equal(tc.showSetting(c, "work_mem"), "8MB")
			tc.is.Equal(tc.showSetting(c, "statement_timeout"), "700")
		}
		_, err = c.Exec(ctx, "SHOW _pq_.extension")
		tc.is.True(err != nil) // it is the protocol's own
		tc.exec(c, "DISCARD ALL")
		tc.is.Equal(tc.showSetting(c, "work_mem"), "4MB")
		tc.is.Equal(tc.showSetting(c, "statement_timeout"), "0")
	})
}

// A value that is set in a transaction lasts when the transaction commits and is
// forgotten when it rolls back, as in PostgreSQL.
func TestSessionValuesOfATransaction(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tc.exec(c, "BEGIN")
		tc.exec(c, "SET search_path = kept")
		tc.is.Equal(tc.showSetting(c, "search_path"), "kept")
		tc.exec(c, "COMMIT")
		tc.is.Equal(tc.showSetting(c, "search_path"), "kept")
		tc.exec(c, "BEGIN")
		tc.exec(c, "SET search_path = dropped")
		tc.exec(c, "ROLLBACK")
		tc.is.Equal(tc.showSetting(c, "search_path"), "kept")
		tc.is.Equal(tc.showSetting(tc.mustConnect(0, ""), "search_path"), "public")
	})
}

// A value that cannot be kept is refused before anything runs: the caller would
// otherwise take it for set while its next statement runs without it. A value
// that the member refuses is not kept either.
func TestSessionValuesThatAreRefused(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		for sql, state := range map[string]string{
			"SET ROLE auditor":                             "TD017",
			"SET SESSION AUTHORIZATION auditor":            "TD017",
			"SET role = auditor":                           "TD017",
			"SET default_transaction_read_only = on":       "TD017",
			`SET search_path = E'a\'b'`:                    "TD017",
			"SET search_path = a; INSERT INTO kv VALUES 1": "TD017",
			"SET no_such_setting = 1":                      "42704",
		} {
			for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
				if mode == pgx.QueryExecModeExec && strings.Contains(sql, ";") {
					continue
				}
				_, err := c.Exec(ctx, sql, mode)
				var e *pgconn.PgError
				tc.is.True(errors.As(err, &e))
				if e.Code != state {
					t.Errorf("%s: %s, want %s", sql, e.Code, state)
				}
			}
		}
		tc.is.Equal(tc.showSetting(c, "search_path"), "public")
		for i := range 256 {
			tc.exec(c, fmt.Sprintf("SET app.v%d = 1", i))
		}
		_, err := c.Exec(ctx, "SET app.more = 1")
		tc.is.True(err != nil)
		tc.exec(c, "SET app.v1 = 2")
	})
}

// A member tells a driver of values that change how it reads answers. The change
// that a caller makes must reach its driver, and a change made for one caller
// must not reach another that shares the connection.
func TestChangedParameterIsReportedToItsCallerOnly(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		first, second := tc.mustConnect(0, ""), tc.mustConnect(0, "")
		tc.exec(first, "SET TimeZone = 'Asia/Tokyo'")
		tc.is.Equal(first.PgConn().ParameterStatus("TimeZone"), "Asia/Tokyo")
		tc.is.Equal(tc.showSetting(second, "timezone"), "UTC")
		tc.is.Equal(second.PgConn().ParameterStatus("TimeZone"), "")
		tc.is.Equal(tc.showSetting(first, "timezone"), "Asia/Tokyo")
	})
}
