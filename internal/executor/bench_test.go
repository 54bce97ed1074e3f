package executor

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/admission"
	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/consistency"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/group"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/retry"
	"github.com/topazrock/topazrock/internal/upstream"
	"github.com/topazrock/topazrock/internal/wire"
)

// BenchmarkRead runs one bounded-staleness read from the unit to its reply: plan, admission,
// choice of a replica, exchange, answer. The member's end of the connection answers
// immediately, so only the package's own cost is measured.
func BenchmarkRead(b *testing.B) {
	instanceEnd, memberEnd := net.Pipe()
	go answerQueries(memberEnd)
	c := upstream.NewConn("r1", time.Now(), instanceEnd, pgproto3.NewFrontend(instanceEnd, instanceEnd))
	g := benchmarkGroup(c)
	query := pgproto3.Query{String: "SELECT v FROM kv WHERE k = 'a'"}
	messages, err := query.Encode(nil)
	if err != nil {
		b.Fatal(err)
	}
	partial := func([]byte) error { return nil }
	b.ReportAllocs()
	for b.Loop() {
		u := &execution.Unit{ID: "u", Group: "g", Class: "aged", Timeout: time.Second, Messages: messages,
			Token: logpos.Token{Group: "g", TermPosition: logpos.TermPosition{Term: 1, Position: 10}}}
		if _, err := g.Execute(context.Background(), u, partial); err != nil {
			b.Fatal(err)
		}
	}
}

// answerQueries answers each message with one row.
func answerQueries(conn net.Conn) {
	var answer []byte
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte("value")}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: byte(wire.Idle)},
	} {
		answer, _ = m.Encode(answer)
	}
	request := make([]byte, 1024)
	for {
		if _, err := conn.Read(request); err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// benchmarkGroup returns a group with one fresh replica, whose connection is c.
func benchmarkGroup(c wire.Conn) *Group {
	now := time.Now()
	service := &document.Service{
		Limits:      document.Limits{StatementTimeout: time.Minute, RequestTimeout: time.Minute, ConfirmTimeout: time.Second, AnswerBuffer: 1 << 20, MaxQueue: 10},
		ReadClasses: []document.ReadClass{{Name: "aged", Consistency: consistency.WithinAge(time.Hour), Priority: 5}},
	}
	status := member.Status{Role: member.RoleReplica, EnteredTerm: 1, AttachedTerm: 1, LastRecord: logpos.TermPosition{Term: 1, Position: 20}}
	s := group.Snapshot{Group: "g", Term: 1, Primary: "p", QuorumAttachedAt: now, Members: []group.MemberView{
		{Address: "p", Status: member.Status{Role: member.RolePrimary, EnteredTerm: 1}},
		{Address: "r1", Status: status, ReportedAt: now, FreshAsOf: now},
	}}
	return NewGroup(Config{
		Group: "g", Instance: "i", Service: func() *document.Service { return service },
		Tracker: &snapshotTracker{snapshot: s}, Pool: singleConnPool{c}, Clock: clock.System{}, Logger: hclog.NewNullLogger(),
		Gate:    admission.New(admission.Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 1)), Slots: 4}),
		Budget:  retry.New(retry.Config{Group: "g", Clock: clock.System{}, Rand: rand.New(rand.NewPCG(1, 2))}),
		Random:  rand.New(rand.NewPCG(1, 3)),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

// singleConnPool always returns the same connection.
type singleConnPool struct{ conn wire.Conn }

// Acquire implements pool.Pool.
func (p singleConnPool) Acquire(context.Context, string, string) (wire.Conn, error) {
	return p.conn, nil
}

// Release implements pool.Pool.
func (singleConnPool) Release(wire.Conn) {}

// MarkSuspect implements pool.Pool.
func (singleConnPool) MarkSuspect(string, time.Time) {}

// ProbeIdle implements pool.Pool.
func (singleConnPool) ProbeIdle(time.Time) {}

// IsFull implements pool.Pool.
func (singleConnPool) IsFull(string) bool { return false }

// HasIdle implements pool.Pool.
func (singleConnPool) HasIdle(string, string) bool { return true }

// FullForWorkspace implements pool.Pool.
func (singleConnPool) FullForWorkspace(string, string) bool { return false }

// NewTicket implements group.Tracker.
func (s *snapshotTracker) NewTicket() group.Ticket { return group.Ticket{} }
