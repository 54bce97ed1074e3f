package member

import (
	"context"
	"errors"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/standin/memnet"
)

var addresses = []string{"10.0.1.1:5432", "10.0.1.2:5432", "10.0.1.3:5432"}

const clientIP = "10.0.9.1"

// testGroup is a group of three nodes on an in-memory network.
type testGroup struct {
	t     *testing.T
	net   *memnet.Network
	nodes []*Node
}

// runWithGroup starts a group and runs f with it in virtual time.
func runWithGroup(t *testing.T, o Options, f func(t *testing.T, b *testGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &testGroup{t: t, net: memnet.New()}
		nodes, err := StartGroup(o, func(ip string) netio.Network { return b.net.Host(ip) }, addresses...)
		if err != nil {
			t.Fatal(err)
		}
		b.nodes = nodes
		defer func() {
			for _, n := range nodes {
				n.Stop()
			}
		}()
		b.advanceSecond()
		f(t, b)
	})
}

// advanceSecond advances virtual time by one second.
func (b *testGroup) advanceSecond() {
	<-time.After(time.Second)
	synctest.Wait()
}

func (b *testGroup) connect(i int, application string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://u@" + addresses[i] + "/g?sslmode=disable&application_name=" + application)
	if err != nil {
		return nil, err
	}
	c.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) {
		return b.net.Host(clientIP).Dial(ctx, address)
	}
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return pgx.ConnectConfig(b.t.Context(), c)
}

func (b *testGroup) mustConnect(i int) *pgx.Conn {
	b.t.Helper()
	c, err := b.connect(i, "test")
	if err != nil {
		b.t.Fatal(err)
	}
	return c
}

func (b *testGroup) exec(c *pgx.Conn, sql string, args ...any) error {
	_, err := c.Exec(b.t.Context(), sql, args...)
	return err
}

func (b *testGroup) queryValue(c *pgx.Conn, sql string, args ...any) string {
	b.t.Helper()
	var v string
	if err := c.QueryRow(b.t.Context(), sql, args...).Scan(&v); err != nil {
		b.t.Fatal(err)
	}
	return v
}

// controlCall runs a control call on a separate connection.
func (b *testGroup) controlCall(i int, call string) (member.Status, error) {
	c, err := b.connect(i, ControlApplication)
	if err != nil {
		return member.Status{}, err
	}
	defer c.Close(b.t.Context())
	return queryStatus(b.t.Context(), c, call)
}

func queryStatus(ctx context.Context, c *pgx.Conn, call string) (member.Status, error) {
	var cells [6]string
	err := c.QueryRow(ctx, "SELECT * FROM "+call).Scan(&cells[0], &cells[1], &cells[2], &cells[3], &cells[4], &cells[5])
	var v [6]uint64
	for i := 1; err == nil && i < len(cells); i++ {
		v[i], err = strconv.ParseUint(cells[i], 10, 64)
	}
	return member.Status{
		Role: member.Role(cells[0]), Entered: logpos.Term(v[1]),
		Last:      logpos.Mark{Term: logpos.Term(v[2]), Position: logpos.Position(v[3])},
		TermStart: logpos.Position(v[4]), Attached: logpos.Term(v[5]),
	}, err
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
