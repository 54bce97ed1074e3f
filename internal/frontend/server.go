package frontend

import (
	"net"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/callers"
)

// Server accepts callers and serves their sessions.
type Server struct {
	*callers.Server
	config  Config
	workers *workers
	ids     *processIDs
}

// NewServer returns a Server that accepts nothing yet.
func NewServer(c Config) *Server {
	c.setDefaults()
	c.Logger = c.Logger.Named("frontend")
	s := &Server{config: c, workers: newWorkers(), ids: newProcessIDs(ProcessIDPrefix(c.Instance))}
	s.Server = callers.New(callers.Config{
		Max:       c.MaxCallers,
		Open:      s.open,
		Refuse:    s.refuse,
		EndUnits:  c.EndUnits,
		Clock:     c.Clock,
		Connected: c.Metrics.callers,
		Logger:    c.Logger,
	})
	return s
}

func (s *Server) open(conn net.Conn) callers.Session {
	n := newSession(s, conn)
	s.ids.add(n)
	return n
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

// Close ends what serves sessions. Drain comes first.
func (s *Server) Close() { s.workers.stop() }

// Cancel stops the statement of the session that a cancel request names, if the
// session is here and the secret is right.
func (s *Server) Cancel(processID, secret uint32) {
	n := s.ids.find(processID)
	if n == nil || n.secret != secret {
		return
	}
	s.config.Metrics.cancels.Inc()
	n.cancel()
}
