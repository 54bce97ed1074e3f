package instance

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// showSetting returns the value of a setting on the connection that runs c's statement.
func (tc *testCluster) showSetting(c *pgx.Conn, name string) string {
	tc.t.Helper()
	var v string
	tc.is.NoErr(c.QueryRow(ctx, "SHOW "+name, pgx.QueryExecModeSimpleProtocol).Scan(&v))
	return v
}

// Three callers share the connections to the members. Two of them set their search path to
// different values, the third sets nothing. Each statement must run under the values of its
// own session on any connection, and a value that is reset must be gone. A statement that
// ran under the search path of another session would read or write the wrong tables.
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

// Drivers set values in each way that the protocol offers: in a simple query, in a prepared
// statement, and at the start of the session. All of them apply to every later statement,
// and DISCARD ALL, which callers' connection pools send between two users, resets all of
// them.
func TestSessionValuesSetInEachWay(t *testing.T) {
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
		tc.is.True(err != nil) // names with _pq_. are options of the protocol, not settings
		tc.exec(c, "DISCARD ALL")
		tc.is.Equal(tc.showSetting(c, "work_mem"), "4MB")
		tc.is.Equal(tc.showSetting(c, "statement_timeout"), "0")
	})
}

// A value set in a transaction is kept if the transaction commits and discarded if it rolls
// back, as in PostgreSQL.
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

// A value that cannot be kept is refused before anything runs: otherwise the caller would
// assume that it is set while its next statement runs without it. A value that the member
// refuses is not kept either.
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

// A member reports values to a driver that affect how it decodes answers. A caller's change
// must be reported to its own driver, and must not be reported to another caller that
// shares the connection.
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
