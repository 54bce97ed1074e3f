package instance

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// config returns the connection settings of a caller of instance i, with a token unless it
// is empty.
func (tc *testCluster) config(i int, token string) *pgx.ConnConfig {
	c, err := pgx.ParseConfig(fmt.Sprintf("postgres://clerk:%s@%s/%s?sslmode=disable", testPassword, instanceAddress(i), testGroup))
	tc.is.NoErr(err)
	c.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) {
		return tc.net.Host(callerHost).Dial(ctx, address)
	}
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	if token != "" {
		c.RuntimeParams["topazrock.token"] = token
	}
	return c
}

// mustConnect opens a caller's connection that is closed with the cluster.
func (tc *testCluster) mustConnect(i int, token string) *pgx.Conn {
	tc.t.Helper()
	c, err := pgx.ConnectConfig(context.Background(), tc.config(i, token))
	tc.is.NoErr(err)
	tc.callerConns = append(tc.callerConns, c)
	return c
}

func token(c *pgx.Conn) string { return c.PgConn().ParameterStatus("topazrock.token") }

func (tc *testCluster) exec(c *pgx.Conn, sql string, arguments ...any) {
	tc.t.Helper()
	_, err := c.Exec(context.Background(), sql, arguments...)
	tc.is.NoErr(err)
}

// count returns the number of rows in the group according to the primary.
func (tc *testCluster) count(c *pgx.Conn) int {
	tc.t.Helper()
	var n int
	tc.is.NoErr(c.QueryRow(context.Background(), "SELECT count(*) FROM kv").Scan(&n))
	return n
}

// cancelThrough sends the cancel request of c's session to instance i.
func (tc *testCluster) cancelThrough(i int, c *pgx.Conn) {
	conn, err := tc.net.Host(callerHost).Dial(context.Background(), instanceAddress(i))
	tc.is.NoErr(err)
	defer conn.Close()
	request := pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: c.PgConn().SecretKey()}
	bytes, err := request.Encode(nil)
	tc.is.NoErr(err)
	_, err = conn.Write(bytes)
	tc.is.NoErr(err)
	time.Sleep(time.Millisecond)
}

func encodedQuery(sql string) []byte {
	bytes, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return bytes
}

// testDialer connects lib/pq to the cluster.
type testDialer struct{ tc *testCluster }

func (d testDialer) Dial(_, address string) (net.Conn, error) {
	return d.tc.net.Host(callerHost).Dial(context.Background(), address)
}

func (d testDialer) DialTimeout(_, address string, _ time.Duration) (net.Conn, error) {
	return d.Dial("", address)
}

// unitsAnswered returns how many units of a class were answered by members of the given
// kind, summed over all instances.
func (tc *testCluster) unitsAnswered(class, kind string) float64 {
	sum := 0.0
	for _, n := range tc.instances {
		families, err := n.options.Registry.Gather()
		tc.is.NoErr(err)
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
