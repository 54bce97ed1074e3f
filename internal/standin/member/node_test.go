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
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c := b.conn(0)
		defer c.Close(t.Context())
		is.NoErr(b.exec(c, "/*class='x'*/ INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1"))
		is.Equal(state(b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', 'it''s')")), stateDuplicateKey)
		is.NoErr(b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', 'it''s') ON CONFLICT (k) DO UPDATE SET v = EXCLUDED.v"))
		is.Equal(b.value(c, "SELECT v FROM kv WHERE k = $1", "a"), "it's")
		is.Equal(b.value(c, "SELECT v FROM kv WHERE k = 'a'", pgx.QueryExecModeSimpleProtocol), "it's")
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
		is.Equal(b.value(c, "SELECT $1", "x"), "x")
		is.Equal(state(b.exec(c, "DROP TABLE kv")), stateSyntax)
		is.Equal(b.value(c, "SHOW transaction_read_only"), "off")
	})
}

func TestLargeAnswerIsWhole(t *testing.T) {
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c := b.conn(1)
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
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c, other := b.conn(0), b.conn(0)
		defer c.Close(t.Context())
		defer other.Close(t.Context())
		is.NoErr(b.exec(c, "BEGIN"))
		is.NoErr(b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')"))
		is.Equal(b.value(c, "SELECT v FROM kv WHERE k = 'a'"), "1")
		is.Equal(other.QueryRow(t.Context(), "SELECT v FROM kv WHERE k = 'a'").Scan(new(string)), pgx.ErrNoRows)
		is.Equal(state(b.exec(c, "nonsense")), stateSyntax)
		is.Equal(state(b.exec(c, "SELECT 1")), stateAborted)
		tag, err := c.Exec(t.Context(), "COMMIT")
		is.NoErr(err)
		is.Equal(tag.String(), "ROLLBACK")
		is.Equal(len(b.nodes[0].Rows("kv")), 0)
	})
}

// The second caller's insert of the same key hangs while the first caller's
// transaction is open, and fails once that commits, because the key is unique.
func TestKeyInsertWaitsForOpenTransaction(t *testing.T) {
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		const insert = "INSERT INTO topazrock_request_keys (key, outcome) VALUES ('x', 'ran')"
		c, other := b.conn(0), b.conn(0)
		defer c.Close(t.Context())
		defer other.Close(t.Context())
		is.NoErr(b.exec(c, "BEGIN"))
		is.NoErr(b.exec(c, insert))
		second := make(chan error, 1)
		go func() { second <- b.exec(other, insert) }()
		b.settle()
		is.Equal(len(second), 0)
		is.NoErr(b.exec(c, "COMMIT"))
		is.Equal(state(<-second), stateDuplicateKey)
	})
}

func TestCancelEndsTheStatement(t *testing.T) {
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c := b.conn(0)
		defer c.Close(t.Context())
		time.AfterFunc(time.Second, func() { is.NoErr(c.PgConn().CancelRequest(b.t.Context())) })
		start := time.Now()
		is.Equal(state(b.exec(c, "SELECT pg_sleep(100)")), stateCancelled)
		is.Equal(time.Since(start), time.Second)
	})
}

func TestTotalSlotsAndDelay(t *testing.T) {
	o := Options{ConnectionTotal: 2, Slots: 1, ConnectDelay: 10 * time.Millisecond}
	inGroup(t, o, func(t *testing.T, b *bench) {
		is := is.New(t)
		start := time.Now()
		first, second := b.conn(0), b.conn(0)
		is.Equal(time.Since(start), 20*time.Millisecond)
		_, err := b.connect(0, "test")
		is.Equal(state(err), stateTooManyConnections)
		_, err = b.control(0, "group_status()")
		is.NoErr(err)
		done := make(chan error, 1)
		start = time.Now()
		go func() { done <- b.exec(first, "SELECT pg_sleep(1)") }()
		is.NoErr(b.exec(second, "SELECT pg_sleep(1)"))
		is.NoErr(<-done)
		is.Equal(time.Since(start), 2*time.Second)
		is.Equal(b.nodes[0].Connections(), Connections{Open: 2, Highest: 2, ControlOpen: 0, ControlHighest: 1, Refused: 1})
		is.NoErr(first.Close(t.Context()))
		is.NoErr(second.Close(t.Context()))
	})
}

func TestReplicationLag(t *testing.T) {
	inGroup(t, Options{ReplicationLag: 500 * time.Millisecond}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c := b.conn(0)
		defer c.Close(t.Context())
		is.NoErr(b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')"))
		end, err := statusOf(t.Context(), c, "group_status()")
		is.NoErr(err)
		is.Equal(len(b.nodes[1].Rows("kv")), 0)
		start := time.Now()
		s, err := b.control(1, "group_wait_position("+strconv.Itoa(int(end.Last.Position))+", 2000)")
		is.NoErr(err)
		is.Equal(s.Last, end.Last)
		is.Equal(s.Attached, logpos.Term(1))
		is.Equal(time.Since(start), 500*time.Millisecond)
		replica := b.conn(1)
		defer replica.Close(t.Context())
		is.Equal(b.value(replica, "SELECT v FROM kv WHERE k = 'a'"), "1")
		is.Equal(state(b.exec(replica, "DELETE FROM kv WHERE k = 'a'")), stateReadOnly)
	})
}

// The caller's open transaction fails at COMMIT with 25006, because the primary
// entered a higher term in between: it must not commit what a new primary would
// never see.
func TestFencedPrimaryCommitsNothing(t *testing.T) {
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c := b.conn(0)
		defer c.Close(t.Context())
		is.NoErr(b.exec(c, "BEGIN"))
		is.NoErr(b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')"))
		s, err := b.control(0, "group_enter_term(2)")
		is.NoErr(err)
		is.Equal(s.Role, member.RoleFenced)
		is.Equal(state(b.exec(c, "COMMIT")), stateReadOnly)
		is.Equal(state(b.exec(c, "INSERT INTO kv (k, v) VALUES ('b', '1')")), stateReadOnly)
		_, err = b.control(0, "group_enter_term(1)")
		is.Equal(state(err), stateTermPassed)
	})
}

// A write that only the cut-off primary holds is gone after another member is
// promoted and the old primary follows it, though the old log was longer: the
// tail of the older term is dropped before the new records come.
func TestPromotionAndDiscardedTail(t *testing.T) {
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c := b.conn(0)
		is.NoErr(b.exec(c, "INSERT INTO kv (k, v) VALUES ('kept', '1')"))
		b.settle()
		for _, ip := range []string{"10.0.1.2", "10.0.1.3"} {
			b.net.Cut("10.0.1.1", ip)
		}
		is.NoErr(b.exec(c, "INSERT INTO kv (k, v) VALUES ('lost', $1)", strings.Repeat("x", 500)))
		is.NoErr(c.Close(t.Context()))
		for _, i := range []int{1, 2} {
			_, err := b.control(i, "group_promote(2)")
			is.Equal(state(err), stateNotInState)
			_, err = b.control(i, "group_enter_term(2)")
			is.NoErr(err)
		}
		promoted, err := b.control(1, "group_promote(2)")
		is.NoErr(err)
		again, err := b.control(1, "group_promote(2)")
		is.NoErr(err)
		is.Equal(promoted, again)
		is.Equal(promoted.Last.Term, logpos.Term(2))
		_, err = b.control(2, "group_follow(2, '"+addresses[1]+"')")
		is.NoErr(err)
		for _, ip := range []string{"10.0.1.2", "10.0.1.3"} {
			b.net.Heal("10.0.1.1", ip)
		}
		b.settle()
		is.Equal(len(b.nodes[0].Rows("kv")), 2)
		_, err = b.control(0, "group_enter_term(2)")
		is.NoErr(err)
		before, err := b.control(0, "group_follow(2, '"+addresses[1]+"')")
		is.NoErr(err)
		is.Equal(before.Attached, logpos.Term(0))
		b.settle()
		for _, n := range b.nodes {
			is.Equal(n.Rows("kv"), map[string]string{"kept": "1"})
			is.Equal(n.Status().Attached, logpos.Term(2))
			is.Equal(n.Status().TermStart, promoted.TermStart)
		}
	})
}

// The caller's COMMIT breaks off with no answer: the member died after the
// commit and before the answer. After the restart the write and the term stand.
func TestRestartKeepsLogAndTerm(t *testing.T) {
	inGroup(t, Options{}, func(t *testing.T, b *bench) {
		is := is.New(t)
		c := b.conn(0)
		b.nodes[0].SetHook(func(point string) {
			if point == "commit.after_before_answer" {
				b.nodes[0].Kill()
			}
		})
		err := b.exec(c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
		is.True(err != nil && state(err) == "")
		b.nodes[0].SetHook(nil)
		is.NoErr(b.nodes[0].Restart())
		is.Equal(b.nodes[0].Rows("kv"), map[string]string{"a": "1"})
		is.Equal(b.nodes[0].Status().Role, member.RolePrimary)
		b.settle()
		is.Equal(b.nodes[2].Rows("kv"), map[string]string{"a": "1"})
	})
}
