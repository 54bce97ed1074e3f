// Package callers accepts callers' connections, runs and counts their sessions,
// and drains them. It does not depend on the callers' protocol.
//
// Lock order: Server.mu alone; it is not held across I/O.
package callers

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/waitlist"
)

// Session serves one caller.
type Session interface {
	// Run serves the caller until one of these: the caller disconnects, the session is
	// idle while the server is draining, or the drain times out.
	Run()
	// Wake makes a session that waits for a message check whether it should end.
	Wake()
}

// Config configures a Server.
type Config struct {
	// MaxCallers is the maximum number of connected callers.
	MaxCallers int
	// OpenSession creates the session of a connection.
	OpenSession func(net.Conn) Session
	// RejectConnection sends a caller the reason why its connection is rejected.
	RejectConnection func(net.Conn, *result.Error)
	// CancelUnits is called when a drain times out, and cancels the units that members are
	// running. Units that wait for anything else are cancelled through Server.UnitContext.
	CancelUnits func()
	Clock       clock.Clock
	// Connected is the number of connected callers.
	Connected prometheus.Gauge
	Logger    hclog.Logger
}

// FinalReplyTimeout is how long sessions have, after a drain timed out, to send their callers
// the outcome of the running statement. It is several times as long as sending a reply takes,
// and shorter than the time that the platform allows between the end of a drain and the end of
// the process.
const FinalReplyTimeout = 250 * time.Millisecond

// Server accepts callers and runs their sessions.
type Server struct {
	config Config

	// unitContext is the context of all units. cancelUnits cancels it when a drain times out.
	unitContext context.Context
	cancelUnits context.CancelFunc
	// dismissals is the number of calls of DisconnectIdle.
	dismissals atomic.Uint64

	mu       sync.Mutex
	sessions map[Session]net.Conn
	draining bool
	// rejecting counts the rejected connections that are not closed yet; rejected is notified when
	// it decreases.
	rejecting int
	rejected  *waitlist.Signal
	// drained is closed when the server is draining and the last session has ended.
	drained chan struct{}
}

// New returns a Server. It accepts callers once Serve is called.
func New(c Config) *Server {
	s := &Server{config: c, sessions: make(map[Session]net.Conn), drained: make(chan struct{}), rejected: waitlist.NewSignal()}
	s.unitContext, s.cancelUnits = context.WithCancel(context.Background())
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	session, refusal := s.register(conn)
	if refusal != nil {
		s.reject(conn, refusal)
		return
	}
	defer s.unregister(session)
	session.Run()
	lingeringClose(conn, s.config.Clock.Now())
}

// reject tells a caller why its connection is rejected, and closes the connection.
func (s *Server) reject(conn net.Conn, refusal *result.Error) {
	s.config.RejectConnection(conn, refusal)
	lingeringClose(conn, s.config.Clock.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting--
	s.rejected.Notify()
}

// WaitForRejected returns when all rejected connections are closed, or the error of ctx if ctx ends
// first. A process that ends earlier resets them, and the reset can overtake the rejection.
func (s *Server) WaitForRejected(ctx context.Context) error {
	return s.rejected.Wait(ctx, &s.mu, func() bool { return s.rejecting == 0 })
}

// register opens and adds the session of a connection. It returns an error, and counts the
// connection as rejected, if the server is draining or has reached the maximum number of callers.
func (s *Server) register(conn net.Conn) (Session, *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.rejecting++
		return nil, result.New(result.Draining, "connect again")
	}
	if len(s.sessions) >= s.config.MaxCallers {
		s.rejecting++
		return nil, result.New(result.TooManyCallers, "at most %d", s.config.MaxCallers).WithRetryAfter(RetryAfterRejection)
	}
	session := s.config.OpenSession(conn)
	s.sessions[session] = conn
	s.config.Connected.Inc()
	return session, nil
}

func (s *Server) unregister(session Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	s.config.Connected.Dec()
	if s.draining && len(s.sessions) == 0 {
		close(s.drained)
	}
}

// Callers returns the number of connected callers.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Draining reports whether Drain has been called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// DisconnectIdle makes idle callers reconnect to another instance: every session that exists now
// ends as soon as it is idle. Callers that connect later are accepted as usual.
func (s *Server) DisconnectIdle() {
	s.dismissals.Add(1)
	s.mu.Lock()
	sessions := s.sessionsLocked()
	s.mu.Unlock()
	for _, session := range sessions {
		session.Wake()
	}
}

// IdleDisconnects returns the number of calls of DisconnectIdle. An idle session must end if the
// number has increased since the session began.
func (s *Server) IdleDisconnects() uint64 { return s.dismissals.Load() }

// sessionsLocked returns the sessions. The caller holds s.mu.
func (s *Server) sessionsLocked() []Session {
	sessions := make([]Session, 0, len(s.sessions))
	for session := range s.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// UnitContext returns the context in which sessions run their units. It is cancelled when a drain
// times out, including for sessions with an open transaction.
func (s *Server) UnitContext() context.Context { return s.unitContext }

// Drain rejects new callers, wakes idle sessions so that they end, and lets
// running units and open transactions finish. It returns when every session has
// ended. If ctx ends first, running units are cancelled, their callers get a final
// reply, and the remaining connections are closed.
func (s *Server) Drain(ctx context.Context) error {
	for _, session := range s.beginDrain() {
		session.Wake()
	}
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		s.closeSessions()
		return ctx.Err()
	}
}

func (s *Server) beginDrain() []Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil
	}
	s.draining = true
	if len(s.sessions) == 0 {
		close(s.drained)
	}
	return s.sessionsLocked()
}

// closeSessions cancels the running units, wakes the sessions that wait for a message, gives all
// of them time to send a final reply, and then closes the remaining connections. If connections
// were closed at once, a caller whose statement is queued or waits for a member would not learn
// whether it ran, and a caller in a transaction would not learn that the transaction is lost.
func (s *Server) closeSessions() {
	s.cancelUnits()
	s.config.CancelUnits()
	s.mu.Lock()
	sessions := s.sessionsLocked()
	s.mu.Unlock()
	for _, session := range sessions {
		session.Wake()
	}
	timer := s.config.Clock.NewTimer(FinalReplyTimeout)
	defer timer.Stop()
	select {
	case <-s.drained:
		return
	case <-timer.C:
	}
	s.mu.Lock()
	remaining := make([]net.Conn, 0, len(s.sessions))
	for _, conn := range s.sessions {
		remaining = append(remaining, conn)
	}
	s.mu.Unlock()
	s.config.Logger.Warn("Drain timed out. Closing the remaining sessions.", "sessions", len(remaining))
	for _, conn := range remaining {
		conn.Close()
	}
}
