package instance

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// exchange sends messages on a caller's connection and returns the kinds of the answers, up
// to the first that equals last.
func (tc *testCluster) exchange(f *pgproto3.Frontend, last string, messages ...pgproto3.FrontendMessage) []string {
	tc.t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	tc.is.NoErr(f.Flush())
	var kinds []string
	for {
		m, err := f.Receive()
		tc.is.NoErr(err)
		kind := kindOf(m)
		if kind == "ParameterStatus" {
			continue
		}
		kinds = append(kinds, kind)
		if kind == last {
			return kinds
		}
	}
}

func kindOf(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		return "parsed"
	case *pgproto3.ParameterDescription:
		return "parameters"
	case *pgproto3.RowDescription:
		return "rows"
	case *pgproto3.BindComplete:
		return "bound"
	case *pgproto3.DataRow:
		return "row"
	case *pgproto3.CommandComplete:
		return "complete"
	case *pgproto3.ParameterStatus:
		return "ParameterStatus"
	case *pgproto3.ErrorResponse:
		return m.Code
	case *pgproto3.ReadyForQuery:
		return "ready " + string(m.TxStatus)
	}
	return "other"
}

// Some drivers describe a statement with Flush and run it later with Sync. They send
// nothing more until they have the description: without an answer to Flush both sides would
// wait for each other. An error is reported once, and the following Sync is only answered
// with ReadyForQuery.
func TestFlushReturnsDescription(t *testing.T) {
	withCluster(t, func(tc *testCluster) {
		c := tc.mustConnect(0, "")
		tc.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		conn := c.PgConn().Conn()
		f := pgproto3.NewFrontend(conn, conn)
		parse := &pgproto3.Parse{Name: "s", Query: "SELECT v FROM kv WHERE k = $1"}
		describe := &pgproto3.Describe{ObjectType: 'S', Name: "s"}
		bind := &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("a")}}
		run, sync, flush := &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.Flush{}
		tc.is.Equal(tc.exchange(f, "rows", parse, describe, flush), []string{"parsed", "parameters", "rows"})
		tc.is.Equal(tc.exchange(f, "ready I", bind, run, sync), []string{"bound", "row", "complete", "ready I"})
		bad := &pgproto3.Parse{Name: "x", Query: "NONSENSE"}
		tc.is.Equal(tc.exchange(f, "42601", bad, flush), []string{"42601"})
		tc.is.Equal(tc.exchange(f, "ready I", bind, run, sync), []string{"ready I"})
		tc.is.Equal(tc.exchange(f, "TD017", bind, run, flush), []string{"TD017"})
		tc.is.Equal(tc.exchange(f, "ready I", sync), []string{"ready I"})
		tc.is.Equal(tc.exchange(f, "ready I", bind, run, sync), []string{"bound", "row", "complete", "ready I"})
	})
}
