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

// waiting is a session that runs until it is woken or its caller hangs up.
type waiting struct {
	conn  net.Conn
	woken chan struct{}
}

// Run implements Session.
func (w *waiting) Run() {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		var one [1]byte
		_, _ = w.conn.Read(one[:])
	}()
	select {
	case <-w.woken:
	case <-gone:
	}
}

// Wake implements Session.
func (w *waiting) Wake() { close(w.woken) }

// accepted is a listener that hands out the connections it is given.
type accepted chan net.Conn

// Accept implements net.Listener.
func (a accepted) Accept() (net.Conn, error) {
	conn, ok := <-a
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (a accepted) Close() error { close(a); return nil }

// Addr implements net.Listener.
func (a accepted) Addr() net.Addr { return nil }

// bed is a server and the codes of the callers it refused.
type bed struct {
	server  *Server
	listen  accepted
	refused []result.Code
	// unitsEnded says that what members work on was ended.
	unitsEnded bool
}

func newBed(most int) *bed {
	b := &bed{listen: make(accepted)}
	b.server = New(Config{
		Max:       most,
		Open:      func(c net.Conn) Session { return &waiting{conn: c, woken: make(chan struct{})} },
		Refuse:    func(_ net.Conn, e *result.Error) { b.refused = append(b.refused, e.Code) },
		EndUnits:  func() { b.unitsEnded = true },
		Clock:     clock.System{},
		Connected: prometheus.NewGauge(prometheus.GaugeOpts{Name: "callers"}),
		Logger:    hclog.NewNullLogger(),
	})
	go func() { _ = b.server.Serve(b.listen) }()
	return b
}

// call connects one caller.
func (b *bed) call() net.Conn {
	near, far := net.Pipe()
	b.listen <- far
	synctest.Wait()
	return near
}

// Callers connect until the instance is full. One more is refused, so that the
// memory for those who are there suffices; when one leaves, the next is taken.
func TestServerTakesNoMoreThanItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(2)
		first := b.call()
		b.call()
		b.call()
		is.Equal(b.refused, []result.Code{result.TooManyCallers})
		first.Close()
		synctest.Wait()
		b.call()
		is.Equal(b.server.Callers(), 2)
		is.NoErr(b.server.Drain(t.Context()))
		b.listen.Close()
	})
}

// The instance drains. Sessions that are idle end, and a caller that comes now is
// told to connect elsewhere.
func TestDrainEndsSessionsAndRefusesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(9)
		b.call()
		is.NoErr(b.server.Drain(context.Background()))
		is.Equal(b.server.Callers(), 0)
		b.call()
		is.Equal(b.refused, []result.Code{result.Draining})
		b.listen.Close()
	})
}

// The instance lost sight of most members, and its idle callers are better off
// elsewhere. They are woken and leave; callers that come later are taken, because the
// balancer has nowhere better for them.
func TestDismissSendsIdleCallersAwayOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(9)
		b.call()
		before := b.server.Dismissals()
		b.server.Dismiss()
		synctest.Wait()
		is.True(b.server.Dismissals() > before)
		is.Equal(b.server.Callers(), 0)
		b.call()
		is.Equal(b.server.Callers(), 1)
		is.Equal(len(b.refused), 0)
		is.NoErr(b.server.Drain(t.Context()))
		b.listen.Close()
	})
}

// atWork is a session with a statement under way, which ends by the context of units.
type atWork struct {
	server *Server
	conn   net.Conn
}

// Run implements Session: it answers when its statement was ended.
func (a *atWork) Run() {
	<-a.server.Units().Done()
	_, _ = a.conn.Write([]byte("answer"))
}

// Wake implements Session. The session is not idle.
func (*atWork) Wake() {}

// The instance may wait no longer, and a caller's statement is under way. The statement is
// ended, and the caller has its answer before the connection is closed.
func TestCutOffEndsUnitsAndLetsThemBeAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBed(9)
		b.server.config.Open = func(c net.Conn) Session { return &atWork{server: b.server, conn: c} }
		caller := b.call()
		answer := make(chan string, 1)
		go func() {
			got, _ := io.ReadAll(caller)
			answer <- string(got)
		}()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.True(b.server.Drain(ctx) != nil)
		is.True(b.unitsEnded)
		is.Equal(<-answer, "answer")
		b.listen.Close()
	})
}
