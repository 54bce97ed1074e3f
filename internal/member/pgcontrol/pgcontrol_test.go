package pgcontrol

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// scriptedMember is a member that responds to each statement with the messages
// that respond returns.
type scriptedMember struct {
	respond       func(sql string) []pgproto3.BackendMessage
	statements    []string
	startupParams map[string]string
}

// Dial implements netio.Dialer.
func (s *scriptedMember) Dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

func (s *scriptedMember) serve(conn net.Conn) {
	defer conn.Close()
	b := pgproto3.NewBackend(conn, conn)
	startup, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	s.startupParams = startup.(*pgproto3.StartupMessage).Parameters
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		m, err := b.Receive()
		q, ok := m.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		s.statements = append(s.statements, q.String)
		for _, a := range s.respond(q.String) {
			b.Send(a)
		}
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

func statusRow(fields ...string) []pgproto3.BackendMessage {
	names := []string{"role", "entered", "last_term", "last_position", "term_start", "attached"}
	d := &pgproto3.RowDescription{}
	r := &pgproto3.DataRow{}
	for i, f := range fields {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(names[i]), DataTypeOID: 25})
		r.Values = append(r.Values, []byte(f))
	}
	return []pgproto3.BackendMessage{d, r, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}}
}

func TestEachCallSendsItsStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedMember{respond: func(string) []pgproto3.BackendMessage {
			return statusRow("replica", "7", "6", "120", "90", "7")
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		c, err := NewDialer(s, Options{User: "ctl", Password: "p"}).DialControl(ctx, "10.0.0.1:5432")
		is.NoErr(err)
		defer c.Close()

		st, err := c.Status(ctx)
		is.NoErr(err)
		is.Equal(st, member.Status{Role: member.RoleReplica, EnteredTerm: 7,
			LastRecord: logpos.TermPosition{Term: 6, Position: 120}, TermStart: 90, AttachedTerm: 7})
		_, err = c.WaitPosition(ctx, 130)
		is.NoErr(err)
		_, err = c.EnterTerm(ctx, 8)
		is.NoErr(err)
		_, err = c.Promote(ctx, member.Promotion{Term: 8})
		is.NoErr(err)
		_, err = c.Follow(ctx, 8, "10.0.0.2:5432'")
		is.NoErr(err)
		is.Equal(s.statements, []string{
			"SELECT * FROM group_status()",
			"SELECT * FROM group_wait_position(130, 300)",
			"SELECT * FROM group_enter_term(8)",
			"SELECT * FROM group_promote(8)",
			"SELECT * FROM group_follow(8, '10.0.0.2:5432''')",
		})
		is.Equal(s.startupParams["application_name"], ApplicationName)
		is.Equal(s.startupParams["user"], "ctl")
	})
}

// A member that has entered a higher term rejects the call. The claimer must get
// ErrStaleTerm, and the connection must remain usable for the next call.
func TestConnectionUsableAfterErrTermPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &scriptedMember{respond: func(sql string) []pgproto3.BackendMessage {
			if sql == StatusStatement {
				return statusRow("fenced", "9", "6", "120", "0", "0")
			}
			return []pgproto3.BackendMessage{&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55G01", Message: "entered 9"}}
		}}
		c, err := NewDialer(s, Options{User: "ctl"}).DialControl(t.Context(), "10.0.0.1:5432")
		is.NoErr(err)
		defer c.Close()
		_, err = c.EnterTerm(t.Context(), 8)
		is.True(errors.Is(err, member.ErrStaleTerm))
		st, err := c.Status(t.Context())
		is.NoErr(err)
		is.Equal(st.EnteredTerm, logpos.Term(9))
	})
}

// A member responds to a status call only after the call's deadline. The call
// fails at the deadline. The next call fails too, because it must not read the
// late response.
func TestLateResponseIsNotReadByNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		s := &scriptedMember{respond: func(string) []pgproto3.BackendMessage {
			<-release
			return statusRow("primary", "1", "1", "10", "0", "1")
		}}
		c, err := NewDialer(s, Options{User: "ctl"}).DialControl(t.Context(), "10.0.0.1:5432")
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		_, err = c.Status(ctx)
		is.True(err != nil)
		is.Equal(time.Since(start), 50*time.Millisecond)
		_, err = c.Status(t.Context())
		is.True(err != nil)
		close(release)
		synctest.Wait()
		is.Equal(len(s.statements), 1)
	})
}

func TestParseStatusRejectsMalformedRows(t *testing.T) {
	good := []string{"primary", "1", "1", "10", "0", "1"}
	for column, bad := range map[int]string{0: "leader", 1: "-1", 3: "", 5: "x"} {
		fields := make([][]byte, len(good))
		for i, f := range good {
			fields[i] = []byte(f)
		}
		fields[column] = []byte(bad)
		if _, err := ParseStatus(fields); !errors.Is(err, ErrMalformedStatus) {
			t.Errorf("column %d as %q: got %v", column, bad, err)
		}
	}
	if _, err := ParseStatus(nil); !errors.Is(err, ErrMalformedStatus) {
		t.Errorf("no columns: got %v", err)
	}
}
