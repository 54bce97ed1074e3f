package instance

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Two sessions define their unnamed statements one after the other, over the
// same connection to the member, and bind them later. Each runs its own text:
// the member knows only the one that came last.
func TestUnnamedStatementsOfTwoSessions(t *testing.T) {
	inBed(t, func(b *bed) {
		first, second := b.mustConnect(0, "").PgConn().Conn(), b.mustConnect(0, "").PgConn().Conn()
		one, two := pgproto3.NewFrontend(first, first), pgproto3.NewFrontend(second, second)
		run, sync := &pgproto3.Execute{}, &pgproto3.Sync{}
		b.ask(one, "ready I", &pgproto3.Parse{Query: "INSERT INTO kv (k, v) VALUES ('one', $1)"}, sync)
		b.ask(two, "ready I", &pgproto3.Parse{Query: "INSERT INTO kv (k, v) VALUES ('two', $1)"}, sync)
		bind := &pgproto3.Bind{Parameters: [][]byte{[]byte("1")}}
		for _, f := range []*pgproto3.Frontend{one, two} {
			b.is.Equal(b.ask(f, "ready I", bind, run, sync), []string{"bound", "complete", "ready I"})
		}
		reader := b.mustConnect(1, "")
		b.is.Equal(b.value(reader, "one", freshRead)+b.value(reader, "two", freshRead), "11")
	})
}
