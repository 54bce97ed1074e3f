package frontend

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/topazrock/topazrock/internal/result"
)

// Server accepts callers and serves their sessions.
type Server struct {
	config  Config
	workers *workers
	// idPrefix is the upper half of every process ID that this instance gives
	// out, so that a cancel request finds the instance it is meant for.
	idPrefix uint32

	mu       sync.Mutex
	sessions map[uint32]*session
	nextID   uint32
	draining bool
	// ended is closed when draining and the last session has ended.
	ended chan struct{}
}

// NewServer returns a Server that accepts nothing yet.
func NewServer(c Config) *Server {
	c.setDefaults()
	c.Logger = c.Logger.Named("frontend")
	return &Server{
		config:   c,
		workers:  newWorkers(),
		idPrefix: ProcessIDPrefix(c.Instance),
		sessions: make(map[uint32]*session),
		ended:    make(chan struct{}),
	}
}

// processIDBits is how many bits of a process ID count sessions: more than the
// settings allow callers, so that a free ID is always found.
const processIDBits = 20

// PrefixOf returns the part of a process ID that tells its instance.
func PrefixOf(processID uint32) uint32 { return processID >> processIDBits }

// ProcessIDPrefix returns the upper half of the process IDs of an instance.
func ProcessIDPrefix(instance string) uint32 {
	return uint32(xxhash.Sum64String(instance)) >> processIDBits
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
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	session, err := s.register(conn)
	if err != nil {
		s.refuse(conn, err)
		return
	}
	defer s.unregister(session)
	session.run()
}

// register adds a session, or refuses it when the instance is full or draining.
func (s *Server) register(conn net.Conn) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, result.New(result.Draining, "instance %s", s.config.Instance)
	}
	if len(s.sessions) >= s.config.MaxCallers {
		return nil, result.New(result.TooManyCallers, "at most %d", s.config.MaxCallers).WithRetryAfter(retryAfterFull)
	}
	n := newSession(s, conn, s.freeID())
	s.sessions[n.processID] = n
	s.config.Metrics.callers.Inc()
	return n, nil
}

// freeID returns a process ID that no session has. The caller holds s.mu.
func (s *Server) freeID() uint32 {
	const mask = 1<<processIDBits - 1
	for {
		s.nextID = (s.nextID + 1) & mask
		id := s.idPrefix<<processIDBits | s.nextID
		if _, taken := s.sessions[id]; !taken {
			return id
		}
	}
}

func (s *Server) unregister(n *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, n.processID)
	s.config.Metrics.callers.Dec()
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

// Drain refuses new callers, tells idle ones to connect elsewhere, and lets
// units and transactions in flight finish. It returns when every session has
// ended; when ctx ends first, the sessions that are left are cut off.
func (s *Server) Drain(ctx context.Context) error {
	for _, n := range s.beginDrain() {
		n.wake()
	}
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		s.cutOff()
		return ctx.Err()
	}
}

func (s *Server) beginDrain() []*session {
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

func (s *Server) list() []*session {
	all := make([]*session, 0, len(s.sessions))
	for _, n := range s.sessions {
		all = append(all, n)
	}
	return all
}

func (s *Server) cutOff() {
	s.mu.Lock()
	left := s.list()
	s.mu.Unlock()
	s.config.Logger.Warn("Drain ran out of time. Sessions are cut off.", "sessions", len(left))
	for _, n := range left {
		n.conn.Close()
	}
}

// Close ends what serves sessions. Drain comes first.
func (s *Server) Close() { s.workers.stop() }

// Draining reports whether the server is shutting down.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Cancel stops the statement of the session that a cancel request names, if the
// session is here and the secret is right.
func (s *Server) Cancel(processID, secret uint32) {
	s.mu.Lock()
	n := s.sessions[processID]
	s.mu.Unlock()
	if n == nil || n.secret != secret {
		return
	}
	s.config.Metrics.cancels.Inc()
	n.cancel()
}
