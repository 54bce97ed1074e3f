package callers

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
)

// idleSession is a session that runs until it is woken or its caller disconnects.
type idleSession struct {
	conn  net.Conn
	woken chan struct{}
}

// Run implements Session.
func (s *idleSession) Run() {
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		var one [1]byte
		_, _ = s.conn.Read(one[:])
	}()
	select {
	case <-s.woken:
	case <-disconnected:
	}
}

// Wake implements Session.
func (s *idleSession) Wake() { close(s.woken) }

// pipeListener is a listener that accepts the connections sent on the channel.
type pipeListener chan net.Conn

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (l pipeListener) Close() error { close(l); return nil }

// Addr implements net.Listener.
func (l pipeListener) Addr() net.Addr { return nil }

// serverFixture is a server and the result codes with which it rejected callers.
type serverFixture struct {
	server   *Server
	listener pipeListener
	rejected []result.Code
	// unitsCancelled is set when the server has called Config.CancelUnits.
	unitsCancelled bool
}

func newServerFixture(maxCallers int) *serverFixture {
	f := &serverFixture{listener: make(pipeListener)}
	f.server = New(Config{
		MaxCallers:       maxCallers,
		OpenSession:      func(c net.Conn) Session { return &idleSession{conn: c, woken: make(chan struct{})} },
		RejectConnection: func(_ net.Conn, e *result.Error) { f.rejected = append(f.rejected, e.Code) },
		CancelUnits:      func() { f.unitsCancelled = true },
		Clock:            clock.System{},
		Connected:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "callers"}),
		Logger:           hclog.NewNullLogger(),
	})
	go func() { _ = f.server.Serve(f.listener) }()
	return f
}

// connect connects one caller.
func (f *serverFixture) connect() net.Conn {
	client, conn := net.Pipe()
	f.listener <- conn
	synctest.Wait()
	return client
}

// Callers connect until the maximum is reached. The next one is rejected, so that
// memory suffices for the connected ones. After one disconnects, another is accepted.
func TestServerRejectsCallersAboveMax(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newServerFixture(2)
		first := f.connect()
		f.connect()
		f.connect()
		is.Equal(f.rejected, []result.Code{result.TooManyCallers})
		first.Close()
		synctest.Wait()
		f.connect()
		is.Equal(f.server.Callers(), 2)
		is.NoErr(f.server.Drain(t.Context()))
		f.listener.Close()
	})
}

// The instance drains. Idle sessions end, and a caller that connects now is rejected
// and asked to connect again.
func TestDrainEndsIdleSessionsAndRejectsCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newServerFixture(9)
		f.connect()
		is.NoErr(f.server.Drain(context.Background()))
		is.Equal(f.server.Callers(), 0)
		f.connect()
		is.Equal(f.rejected, []result.Code{result.Draining})
		f.listener.Close()
	})
}

// The instance cannot reach most members, and another instance can serve its idle
// callers better. Their sessions are woken and end. Callers that connect later are
// accepted, because the load balancer has no better instance for them.
func TestDismissEndsOnlyPresentIdleSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newServerFixture(9)
		f.connect()
		before := f.server.IdleDisconnects()
		f.server.DisconnectIdle()
		synctest.Wait()
		is.True(f.server.IdleDisconnects() > before)
		is.Equal(f.server.Callers(), 0)
		f.connect()
		is.Equal(f.server.Callers(), 1)
		is.Equal(len(f.rejected), 0)
		is.NoErr(f.server.Drain(t.Context()))
		f.listener.Close()
	})
}

// busySession is a session with a running statement, which ends when Server.UnitContext is cancelled.
type busySession struct {
	server *Server
	conn   net.Conn
}

// Run implements Session: it replies after its statement has been cancelled.
func (s *busySession) Run() {
	<-s.server.UnitContext().Done()
	_, _ = s.conn.Write([]byte("answer"))
}

// Wake implements Session. The session is not idle.
func (*busySession) Wake() {}

// A drain times out while a caller's statement is running. The statement is cancelled, and
// the caller gets its reply before the connection is closed.
func TestCutOffEndsUnitsAndLetsThemBeAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newServerFixture(9)
		f.server.config.OpenSession = func(c net.Conn) Session { return &busySession{server: f.server, conn: c} }
		caller := f.connect()
		answer := make(chan string, 1)
		go func() {
			data, _ := io.ReadAll(caller)
			answer <- string(data)
		}()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.True(f.server.Drain(ctx) != nil)
		is.True(f.unitsCancelled)
		is.Equal(<-answer, "answer")
		f.listener.Close()
	})
}
