package instance

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// config returns a caller's settings for instance i, with a token if not empty.
func (b *bed) config(i int, token string) *pgx.ConnConfig {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://clerk:%s@%s/%s?sslmode=disable", bedPassword, instanceAddress(i), bedGroup))
	b.is.NoErr(err)
	c.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) {
		return b.net.Host(callerHost).Dial(ctx, address)
	}
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	if token != "" {
		c.RuntimeParams["topazrock.token"] = token
	}
	return c
}

// mustConnect opens a caller's connection that is closed with the bed.
func (b *bed) mustConnect(i int, token string) *pgx.Conn {
	b.t.Helper()
	c, err := pgx.ConnectConfig(context.Background(), b.config(i, token))
	b.is.NoErr(err)
	b.callers = append(b.callers, c)
	return c
}

func token(c *pgx.Conn) string { return c.PgConn().ParameterStatus("topazrock.token") }

func (b *bed) exec(c *pgx.Conn, sql string, arguments ...any) {
	b.t.Helper()
	_, err := c.Exec(context.Background(), sql, arguments...)
	b.is.NoErr(err)
}

// count returns the rows that the group holds, as the primary sees it.
func (b *bed) count(c *pgx.Conn) int {
	b.t.Helper()
	var n int
	b.is.NoErr(c.QueryRow(context.Background(), "SELECT count(*) FROM kv").Scan(&n))
	return n
}

// cancelThrough sends the cancel request of c's session to instance i.
func (b *bed) cancelThrough(i int, c *pgx.Conn) {
	conn, err := b.net.Host(callerHost).Dial(context.Background(), instanceAddress(i))
	b.is.NoErr(err)
	defer conn.Close()
	request := pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: c.PgConn().SecretKey()}
	bytes, err := request.Encode(nil)
	b.is.NoErr(err)
	_, err = conn.Write(bytes)
	b.is.NoErr(err)
	time.Sleep(time.Millisecond)
}

func encodedQuery(sql string) []byte {
	bytes, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return bytes
}

// bedDialer lets lib/pq reach the bed.
type bedDialer struct{ b *bed }

func (d bedDialer) Dial(_, address string) (net.Conn, error) {
	return d.b.net.Host(callerHost).Dial(context.Background(), address)
}

func (d bedDialer) DialTimeout(_, address string, _ time.Duration) (net.Conn, error) {
	return d.Dial("", address)
}

// answered returns how many units of a class were answered by a kind of member,
// over all instances.
func (b *bed) answered(class, kind string) float64 {
	sum := 0.0
	for _, n := range b.instances {
		families, err := n.options.Registry.Gather()
		b.is.NoErr(err)
		for _, f := range families {
			if f.GetName() != "topazrock_units_total" {
				continue
			}
			for _, m := range f.GetMetric() {
				labels := map[string]string{}
				for _, l := range m.GetLabel() {
					labels[l.GetName()] = l.GetValue()
				}
				if labels["class"] == class && labels["member"] == kind {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}
