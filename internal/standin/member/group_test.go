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
func runWithGroup(t *testing.T, o Options, f func(t *testing.T, g *testGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &testGroup{t: t, net: memnet.New()}
		nodes, err := StartGroup(o, func(ip string) netio.Network { return g.net.Host(ip) }, addresses...)
		if err != nil {
			t.Fatal(err)
		}
		g.nodes = nodes
		defer func() {
			for _, n := range nodes {
				n.Stop()
			}
		}()
		g.advanceSecond()
		f(t, g)
	})
}

// advanceSecond advances virtual time by one second.
func (g *testGroup) advanceSecond() {
	<-time.After(time.Second)
	synctest.Wait()
}

func (g *testGroup) connect(i int, application string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig("postgres://u@" + addresses[i] + "/g?sslmode=disable&application_name=" + application)
	if err != nil {
		return nil, err
	}
	c.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) {
		return g.net.Host(clientIP).Dial(ctx, address)
	}
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return pgx.ConnectConfig(g.t.Context(), c)
}

func (g *testGroup) mustConnect(i int) *pgx.Conn {
	g.t.Helper()
	c, err := g.connect(i, "test")
	if err != nil {
		g.t.Fatal(err)
	}
	return c
}

func (g *testGroup) exec(c *pgx.Conn, sql string, args ...any) error {
	_, err := c.Exec(g.t.Context(), sql, args...)
	return err
}

func (g *testGroup) queryValue(c *pgx.Conn, sql string, args ...any) string {
	g.t.Helper()
	var v string
	if err := c.QueryRow(g.t.Context(), sql, args...).Scan(&v); err != nil {
		g.t.Fatal(err)
	}
	return v
}

// controlCall runs a control call on a separate connection.
func (g *testGroup) controlCall(i int, call string) (member.Status, error) {
	c, err := g.connect(i, ControlApplication)
	if err != nil {
		return member.Status{}, err
	}
	defer c.Close(g.t.Context())
	return queryStatus(g.t.Context(), c, call)
}

func queryStatus(ctx context.Context, c *pgx.Conn, call string) (member.Status, error) {
	var cells [6]string
	err := c.QueryRow(ctx, "SELECT * FROM "+call).Scan(&cells[0], &cells[1], &cells[2], &cells[3], &cells[4], &cells[5])
	var v [6]uint64
	for i := 1; err == nil && i < len(cells); i++ {
		v[i], err = strconv.ParseUint(cells[i], 10, 64)
	}
	return member.Status{
		Role: member.Role(cells[0]), EnteredTerm: logpos.Term(v[1]),
		LastRecord: logpos.TermPosition{Term: logpos.Term(v[2]), Position: logpos.Position(v[3])},
		TermStart:  logpos.Position(v[4]), AttachedTerm: logpos.Term(v[5]),
	}, err
}

func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
