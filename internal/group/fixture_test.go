package group_test

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
	"github.com/topazrock/topazrock/internal/netio"
	standin "github.com/topazrock/topazrock/internal/standin/member"
	"github.com/topazrock/topazrock/internal/standin/memnet"
)

const (
	watcherIP = "10.0.9.1"
	clientIP  = "10.0.9.2"
	oneWay    = time.Millisecond
)

// fixture is a watcher over a group of stand-in members under virtual time.
type fixture struct {
	t         *testing.T
	net       *memnet.Network
	addresses []string
	hosts     []string
	nodes     []*standin.Node
	w         *group.Watcher
}

// withGroup runs f with a group of members, the first of which is the primary.
func withGroup(t *testing.T, members int, f func(x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{t: t, net: memnet.New()}
		for i := range members {
			x.hosts = append(x.hosts, "10.0.1."+string(rune('1'+i)))
			x.addresses = append(x.addresses, x.hosts[i]+":5432")
		}
		for _, h := range x.hosts {
			x.net.SetLatency(watcherIP, h, oneWay)
		}
		options := standin.Options{ConnectDelay: 10 * time.Millisecond}
		nodes, err := standin.StartGroup(options, func(ip string) netio.Network { return x.net.Host(ip) }, x.addresses...)
		if err != nil {
			t.Fatal(err)
		}
		x.nodes = nodes
		defer x.stopNodes()
		defer x.watch()()
		x.advance(time.Second)
		f(x)
	})
}

func (x *fixture) stopNodes() {
	for _, n := range x.nodes {
		n.Stop()
	}
}

func (x *fixture) dialer() *pgcontrol.Dialer {
	return pgcontrol.NewDialer(x.net.Host(watcherIP), pgcontrol.Options{User: "topazrock"})
}

// watch starts the watcher and returns the function that stops it.
func (x *fixture) watch() func() {
	var members []document.Member
	for i, a := range x.addresses {
		members = append(members, document.Member{Address: a, FailureDomain: string(rune('a' + i))})
	}
	x.w = group.NewWatcher(group.Config{
		Group: "g", Members: members, Clock: clock.System{}, Dialer: x.dialer(),
		Rand: rand.New(rand.NewPCG(1, 2)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.w.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// advance lets virtual time pass.
func (x *fixture) advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// write commits a row at member i and returns the mark after it.
func (x *fixture) write(i int) logpos.TermPosition {
	x.t.Helper()
	cfg, err := pgconn.ParseConfig("host=h port=1 user=u password=p dbname=d sslmode=disable")
	if err != nil {
		x.t.Fatal(err)
	}
	cfg.LookupFunc = func(context.Context, string) ([]string, error) { return []string{x.hosts[i]}, nil }
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return x.net.Host(clientIP).Dial(ctx, x.addresses[i])
	}
	c, err := pgconn.ConnectConfig(x.t.Context(), cfg)
	if err != nil {
		x.t.Fatal(err)
	}
	defer c.Close(x.t.Context())
	if _, err := c.Exec(x.t.Context(), "INSERT INTO kv (k, v) VALUES ('"+crand.Text()+"', 'v')").ReadAll(); err != nil {
		x.t.Fatal(err)
	}
	return x.nodes[i].Status().LastRecord
}

// promote makes member i the primary of a term that the fenced members enter too. It uses
// a network address that no cut of the fixture affects.
func (x *fixture) promote(term logpos.Term, i int, fenced ...int) {
	x.t.Helper()
	d := pgcontrol.NewDialer(x.net.Host("10.0.9.3"), pgcontrol.Options{User: "topazrock"})
	for _, j := range append([]int{i}, fenced...) {
		c, err := d.DialControl(x.t.Context(), x.addresses[j])
		if err != nil {
			x.t.Fatal(err)
		}
		if _, err := c.EnterTerm(x.t.Context(), term); err != nil {
			x.t.Fatal(err)
		}
		if j == i {
			_, err = c.Promote(x.t.Context(), member.Promotion{Term: term})
		} else {
			_, err = c.Follow(x.t.Context(), term, x.addresses[i])
		}
		if err != nil {
			x.t.Fatal(err)
		}
		c.Close()
	}
}

func (x *fixture) view(i int) group.MemberView {
	v, _ := x.w.Snapshot().FindMember(x.addresses[i])
	return v
}

func (x *fixture) timeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(x.t.Context(), d)
	x.t.Cleanup(cancel)
	return ctx
}
