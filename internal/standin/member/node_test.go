package member

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

func TestStatements(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c := g.mustConnect(0)
		defer c.Close(t.Context())
		is.NoErr(g.exec(c, "/*class='x'*/ INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1"))
		is.Equal(sqlState(g.exec(c, "INSERT INTO kv (k, v) VALUES ('a', 'it''s')")), stateDuplicateKey)
		is.NoErr(g.exec(c, "INSERT INTO kv (k, v) VALUES ('a', 'it''s') ON CONFLICT (k) DO UPDATE SET v = EXCLUDED.v"))
		is.Equal(g.queryValue(c, "SELECT v FROM kv WHERE k = $1", "a"), "it's")
		is.Equal(g.queryValue(c, "SELECT v FROM kv WHERE k = 'a'", pgx.QueryExecModeSimpleProtocol), "it's")
		var n int
		is.NoErr(c.QueryRow(t.Context(), "SELECT count(*) FROM kv").Scan(&n))
		is.Equal(n, 1)
		tag, err := c.Exec(t.Context(), "UPDATE kv SET v = $1 WHERE k = $2", "2", "a")
		is.NoErr(err)
		is.Equal(tag.String(), "UPDATE 1")
		tag, err = c.Exec(t.Context(), "DELETE FROM kv WHERE k = 'b'")
		is.NoErr(err)
		is.Equal(tag.String(), "DELETE 0")
		is.NoErr(c.QueryRow(t.Context(), "SELECT 1").Scan(&n))
		is.Equal(g.queryValue(c, "SELECT $1", "x"), "x")
		is.Equal(sqlState(g.exec(c, "DROP TABLE kv")), stateSyntax)
		is.Equal(g.queryValue(c, "SHOW transaction_read_only"), "off")
	})
}

func TestLargeAnswerIsWhole(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c := g.mustConnect(1)
		defer c.Close(t.Context())
		rows, err := c.Query(t.Context(), "SELECT repeat_rows(5000, 1000)")
		is.NoErr(err)
		count := 0
		for rows.Next() {
			var v string
			is.NoErr(rows.Scan(&v))
			is.True(strings.HasPrefix(v, strconv.Itoa(count)+":"))
			is.Equal(len(v), 1000)
			count++
		}
		is.NoErr(rows.Err())
		is.Equal(count, 5000)
	})
}

func TestTransactions(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c, other := g.mustConnect(0), g.mustConnect(0)
		defer c.Close(t.Context())
		defer other.Close(t.Context())
		is.NoErr(g.exec(c, "BEGIN"))
		is.NoErr(g.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')"))
		is.Equal(g.queryValue(c, "SELECT v FROM kv WHERE k = 'a'"), "1")
		is.Equal(other.QueryRow(t.Context(), "SELECT v FROM kv WHERE k = 'a'").Scan(new(string)), pgx.ErrNoRows)
		is.Equal(sqlState(g.exec(c, "nonsense")), stateSyntax)
		is.Equal(sqlState(g.exec(c, "SELECT 1")), stateAborted)
		tag, err := c.Exec(t.Context(), "COMMIT")
		is.NoErr(err)
		is.Equal(tag.String(), "ROLLBACK")
		is.Equal(len(g.nodes[0].Rows("kv")), 0)
	})
}

// Two callers insert the same key. The second insert waits while the transaction of
// the first is open, and fails after its commit because the key is unique.
func TestKeyInsertWaitsForOpenTransaction(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		const insert = "INSERT INTO topazrock_request_keys (key, outcome) VALUES ('x', 'ran')"
		c, other := g.mustConnect(0), g.mustConnect(0)
		defer c.Close(t.Context())
		defer other.Close(t.Context())
		is.NoErr(g.exec(c, "BEGIN"))
		is.NoErr(g.exec(c, insert))
		second := make(chan error, 1)
		go func() { second <- g.exec(other, insert) }()
		g.advanceSecond()
		is.Equal(len(second), 0)
		is.NoErr(g.exec(c, "COMMIT"))
		is.Equal(sqlState(<-second), stateDuplicateKey)
	})
}

func TestCancelEndsTheStatement(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c := g.mustConnect(0)
		defer c.Close(t.Context())
		time.AfterFunc(time.Second, func() { is.NoErr(c.PgConn().CancelRequest(g.t.Context())) })
		start := time.Now()
		is.Equal(sqlState(g.exec(c, "SELECT pg_sleep(100)")), stateCancelled)
		is.Equal(time.Since(start), time.Second)
	})
}

func TestConnectionLimitSlotsAndDelay(t *testing.T) {
	o := Options{MaxConnections: 2, MaxConcurrentStatements: 1, ConnectDelay: 10 * time.Millisecond}
	runWithGroup(t, o, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		start := time.Now()
		first, second := g.mustConnect(0), g.mustConnect(0)
		is.Equal(time.Since(start), 20*time.Millisecond)
		_, err := g.connect(0, "test")
		is.Equal(sqlState(err), stateTooManyConnections)
		_, err = g.controlCall(0, "group_status()")
		is.NoErr(err)
		done := make(chan error, 1)
		start = time.Now()
		go func() { done <- g.exec(first, "SELECT pg_sleep(1)") }()
		is.NoErr(g.exec(second, "SELECT pg_sleep(1)"))
		is.NoErr(<-done)
		is.Equal(time.Since(start), 2*time.Second)
		is.Equal(g.nodes[0].Connections(), Connections{Open: 2, Peak: 2, ControlOpen: 0, ControlPeak: 1, Refused: 1})
		is.NoErr(first.Close(t.Context()))
		is.NoErr(second.Close(t.Context()))
	})
}

func TestReplicationLag(t *testing.T) {
	runWithGroup(t, Options{ReplicationLag: 500 * time.Millisecond}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c := g.mustConnect(0)
		defer c.Close(t.Context())
		is.NoErr(g.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')"))
		primaryStatus, err := queryStatus(t.Context(), c, "group_status()")
		is.NoErr(err)
		is.Equal(len(g.nodes[1].Rows("kv")), 0)
		start := time.Now()
		s, err := g.controlCall(1, "group_wait_position("+strconv.Itoa(int(primaryStatus.LastRecord.Position))+", 2000)")
		is.NoErr(err)
		is.Equal(s.LastRecord, primaryStatus.LastRecord)
		is.Equal(s.AttachedTerm, logpos.Term(1))
		is.Equal(time.Since(start), 500*time.Millisecond)
		replica := g.mustConnect(1)
		defer replica.Close(t.Context())
		is.Equal(g.queryValue(replica, "SELECT v FROM kv WHERE k = 'a'"), "1")
		is.Equal(sqlState(g.exec(replica, "DELETE FROM kv WHERE k = 'a'")), stateReadOnly)
	})
}

// The primary enters a higher term while a caller's transaction is open. COMMIT must
// fail with 25006: a new primary would never receive the writes.
func TestFencedPrimaryCommitsNothing(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c := g.mustConnect(0)
		defer c.Close(t.Context())
		is.NoErr(g.exec(c, "BEGIN"))
		is.NoErr(g.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')"))
		s, err := g.controlCall(0, "group_enter_term(2)")
		is.NoErr(err)
		is.Equal(s.Role, member.RoleFenced)
		is.Equal(sqlState(g.exec(c, "COMMIT")), stateReadOnly)
		is.Equal(sqlState(g.exec(c, "INSERT INTO kv (k, v) VALUES ('b', '1')")), stateReadOnly)
		_, err = g.controlCall(0, "group_enter_term(1)")
		is.Equal(sqlState(err), stateTermPassed)
	})
}

// The primary is cut off and commits a write that no other member receives. After
// another member is promoted and the old primary follows it, the write must be gone,
// although the old log is longer: its tail of the older term is truncated before new
// records are applied.
func TestPromotionAndDiscardedTail(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c := g.mustConnect(0)
		is.NoErr(g.exec(c, "INSERT INTO kv (k, v) VALUES ('kept', '1')"))
		g.advanceSecond()
		for _, ip := range []string{"10.0.1.2", "10.0.1.3"} {
			g.net.Cut("10.0.1.1", ip)
		}
		is.NoErr(g.exec(c, "INSERT INTO kv (k, v) VALUES ('lost', $1)", strings.Repeat("x", 500)))
		is.NoErr(c.Close(t.Context()))
		for _, i := range []int{1, 2} {
			_, err := g.controlCall(i, "group_promote(2)")
			is.Equal(sqlState(err), stateNotInState)
			_, err = g.controlCall(i, "group_enter_term(2)")
			is.NoErr(err)
		}
		promoted, err := g.controlCall(1, "group_promote(2)")
		is.NoErr(err)
		repeated, err := g.controlCall(1, "group_promote(2)")
		is.NoErr(err)
		is.Equal(promoted, repeated)
		is.Equal(promoted.LastRecord.Term, logpos.Term(2))
		_, err = g.controlCall(2, "group_follow(2, '"+addresses[1]+"')")
		is.NoErr(err)
		for _, ip := range []string{"10.0.1.2", "10.0.1.3"} {
			g.net.Heal("10.0.1.1", ip)
		}
		g.advanceSecond()
		is.Equal(len(g.nodes[0].Rows("kv")), 2)
		_, err = g.controlCall(0, "group_enter_term(2)")
		is.NoErr(err)
		before, err := g.controlCall(0, "group_follow(2, '"+addresses[1]+"')")
		is.NoErr(err)
		is.Equal(before.AttachedTerm, logpos.Term(0))
		g.advanceSecond()
		for _, n := range g.nodes {
			is.Equal(n.Rows("kv"), map[string]string{"kept": "1"})
			is.Equal(n.Status().AttachedTerm, logpos.Term(2))
			is.Equal(n.Status().TermStart, promoted.TermStart)
		}
	})
}

// The primary is killed after a commit and before its response, so the caller gets no
// response. After the restart the write and the term must still be there.
func TestRestartKeepsLogAndTerm(t *testing.T) {
	runWithGroup(t, Options{}, func(t *testing.T, g *testGroup) {
		is := is.New(t)
		c := g.mustConnect(0)
		g.nodes[0].SetHook(func(point string) {
			if point == "commit.after_before_answer" {
				g.nodes[0].Kill()
			}
		})
		err := g.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		is.True(err != nil && sqlState(err) == "")
		g.nodes[0].SetHook(nil)
		is.NoErr(g.nodes[0].Restart())
		is.Equal(g.nodes[0].Rows("kv"), map[string]string{"a": "1"})
		is.Equal(g.nodes[0].Status().Role, member.RolePrimary)
		g.advanceSecond()
		is.Equal(g.nodes[2].Rows("kv"), map[string]string{"a": "1"})
	})
}
