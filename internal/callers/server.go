// Package callers accepts callers' connections and keeps count of their
// sessions, whatever protocol the callers speak.
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
)

// Session serves one caller.
type Session interface {
	// Run serves until the caller leaves, until the session is idle and the server
	// drains, or until sessions are cut off.
	Run()
	// Wake makes a session that waits for a message look whether it is to end.
	Wake()
}

// Config is what a Server is made of.
type Config struct {
	// Max bounds the connections of callers.
	Max int
	// Open makes the session of a connection.
	Open func(net.Conn) Session
	// Refuse tells a caller why it is not taken.
	Refuse func(net.Conn, *result.Error)
	// EndUnits ends what members work on, when sessions are cut off. What waits for anything
	// else ends by the context of the Server.
	EndUnits func()
	Clock    clock.Clock
	// Connected counts the callers.
	Connected prometheus.Gauge
	Logger    hclog.Logger
}

// answerWait is how long sessions that are cut off have to tell their callers what became of the
// statement under way: several times what an answer takes, and a part of what the platform
// leaves between the end of a drain and that of the process.
const answerWait = 250 * time.Millisecond

// Server accepts callers and runs their sessions.
type Server struct {
	config Config

	// units ends when sessions are cut off, and endUnits ends it.
	units    context.Context
	endUnits context.CancelFunc
	// dismissals counts the calls of Dismiss.
	dismissals atomic.Uint64

	mu       sync.Mutex
	sessions map[Session]net.Conn
	draining bool
	// ended is closed when draining and the last session has ended.
	ended chan struct{}
}

// New returns a Server that accepts nothing yet.
func New(c Config) *Server {
	s := &Server{config: c, sessions: make(map[Session]net.Conn), ended: make(chan struct{})}
	s.units, s.endUnits = context.WithCancel(context.Background())
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
	n, refusal := s.register(conn)
	if refusal != nil {
		s.config.Refuse(conn, refusal)
		lingeringClose(conn, s.config.Clock.Now())
		return
	}
	defer s.unregister(n)
	n.Run()
	lingeringClose(conn, s.config.Clock.Now())
}

// register adds a session, or refuses it when the instance is full or draining.
func (s *Server) register(conn net.Conn) (Session, *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, result.New(result.Draining, "connect again")
	}
	if len(s.sessions) >= s.config.Max {
		return nil, result.New(result.TooManyCallers, "at most %d", s.config.Max).WithRetryAfter(RetryAfterFull)
	}
	n := s.config.Open(conn)
	s.sessions[n] = conn
	s.config.Connected.Inc()
	return n, nil
}

func (s *Server) unregister(n Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, n)
	s.config.Connected.Dec()
	if s.draining && len(s.sessions) == 0 {
		close(s.ended)
	}
}

// Callers returns how many callers are connected.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Draining reports whether the server is shutting down.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Dismiss sends the callers that are idle now elsewhere: their sessions end as soon
// as nothing of theirs is open. Callers that come later are taken as usual.
func (s *Server) Dismiss() {
	s.dismissals.Add(1)
	s.mu.Lock()
	all := s.list()
	s.mu.Unlock()
	for _, n := range all {
		n.Wake()
	}
}

// Dismissals counts the calls of Dismiss. A session that sees it rise is to end when
// it is idle.
func (s *Server) Dismissals() uint64 { return s.dismissals.Load() }

// list returns the sessions. The caller holds s.mu.
func (s *Server) list() []Session {
	all := make([]Session, 0, len(s.sessions))
	for n := range s.sessions {
		all = append(all, n)
	}
	return all
}

// Units is the context that sessions run their units in. It ends when sessions are cut off, also
// those that have a transaction open.
func (s *Server) Units() context.Context { return s.units }

// Drain refuses new callers, wakes idle sessions so that they end, and lets
// units and transactions in flight finish. It returns when every session has
// ended; when ctx ends first, the units under way are ended and answered, and the
// sessions that are left are cut off.
func (s *Server) Drain(ctx context.Context) error {
	for _, n := range s.beginDrain() {
		n.Wake()
	}
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		s.cutOff()
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
		close(s.ended)
	}
	return s.list()
}

// cutOff ends the units under way and wakes the sessions that wait for a message, gives all of
// them the time to tell their callers, and closes the connections that are left. Closed at
// once, a caller whose statement waits for its turn or for a member would not learn whether it
// was taken, nor one in a transaction that it is lost.
func (s *Server) cutOff() {
	s.endUnits()
	s.config.EndUnits()
	s.mu.Lock()
	all := s.list()
	s.mu.Unlock()
	for _, n := range all {
		n.Wake()
	}
	timer := s.config.Clock.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-s.ended:
		return
	case <-timer.C:
	}
	s.mu.Lock()
	left := make([]net.Conn, 0, len(s.sessions))
	for _, conn := range s.sessions {
		left = append(left, conn)
	}
	s.mu.Unlock()
	s.config.Logger.Warn("Drain ran out of time. Sessions are cut off.", "sessions", len(left))
	for _, conn := range left {
		conn.Close()
	}
}
