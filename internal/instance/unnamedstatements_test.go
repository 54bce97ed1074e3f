package instance

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Two sessions define their unnamed statements one after the other on the same connection
// to the member, and bind them later. Each must run its own text, although the member knows
// only the last one.
func TestUnnamedStatementsOfTwoSessions(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		first, second := tc.mustConnect(0, "").PgConn().Conn(), tc.mustConnect(0, "").PgConn().Conn()
		one, two := pgproto3.NewFrontend(first, first), pgproto3.NewFrontend(second, second)
		run, sync := &pgproto3.Execute{}, &pgproto3.Sync{}
		tc.exchange(one, "ready I", &pgproto3.Parse{Query: "INSERT INTO kv (k, v) VALUES ('one', $1)"}, sync)
		tc.exchange(two, "ready I", &pgproto3.Parse{Query: "INSERT INTO kv (k, v) VALUES ('two', $1)"}, sync)
		bind := &pgproto3.Bind{Parameters: [][]byte{[]byte("1")}}
		for _, f := range []*pgproto3.Frontend{one, two} {
			tc.is.Equal(tc.exchange(f, "ready I", bind, run, sync), []string{"bound", "complete", "ready I"})
		}
		reader := tc.mustConnect(1, "")
		tc.is.Equal(tc.readValue(reader, "one", freshReadTag)+tc.readValue(reader, "two", freshReadTag), "11")
	})
}
