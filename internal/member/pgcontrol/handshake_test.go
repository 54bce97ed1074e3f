package pgcontrol

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/member"
)

// slowMember is a member that accepts connections and responds to the startup
// message after delay, with startupError if it is set.
type slowMember struct {
	delay        time.Duration
	startupError *pgproto3.ErrorResponse
	dials        atomic.Int64
}

func (s *slowMember) Dial(context.Context, string) (net.Conn, error) {
	s.dials.Add(1)
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

func (s *slowMember) serve(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	time.Sleep(s.delay)
	if s.startupError != nil {
		backend.Send(s.startupError)
		_ = backend.Flush()
		conn.Close()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = backend.Flush()
}

// A member that has reached its connection limit rejects the control connection.
// It is alive; if it were considered lost, a busy primary would be replaced.
func TestFullMemberReturnsErrBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		full := &slowMember{startupError: &pgproto3.ErrorResponse{Severity: "FATAL", Code: sqlStateTooManyConnections, Message: "full"}}
		_, err := NewDialer(full, Options{User: "u"}).DialControl(t.Context(), "10.0.0.1:5432")
		is.True(errors.Is(err, member.ErrTooManyConnections))
	})
}

// A frozen member has accepted a probe's connection and counts it until it runs
// again, even if this end closes it. Sixty probes within three seconds must share
// two connections, and the first probe after the member resumes must get one.
func TestProbesOfFrozenMemberShareConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		frozen := &slowMember{delay: 2020 * time.Millisecond}
		d := NewDialer(frozen, Options{User: "u"})
		var control member.Control
		for range 60 {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			c, err := d.DialControl(ctx, "10.0.0.1:5432")
			cancel()
			if err == nil {
				control = c
				break
			}
		}
		is.True(control != nil)
		is.True(frozen.dials.Load() <= maxHandshakes)
		is.NoErr(control.Close())
		time.Sleep(2 * handshakeTimeout)
	})
}
