package frontend

import (
	"net"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/callers"
	"github.com/topazrock/topazrock/internal/execution"
)

// Server accepts callers and serves their sessions.
type Server struct {
	*callers.Server
	config     Config
	workers    *workerPool
	processIDs *processIDs
	unitIDs    *execution.IDSequence
}

// NewServer returns a Server. It accepts callers once Serve is called.
func NewServer(c Config) *Server {
	c.setDefaults()
	c.Logger = c.Logger.Named("frontend")
	s := &Server{config: c, workers: newWorkerPool(), processIDs: newProcessIDs(ProcessIDPrefix(c.Instance)), unitIDs: execution.NewIDSequence()}
	s.Server = callers.New(callers.Config{
		MaxCallers:       c.MaxCallers,
		OpenSession:      s.openSession,
		RejectConnection: s.refuse,
		CancelUnits:      c.CancelUnits,
		Clock:            c.Clock,
		Connected:        c.Metrics.callers,
		Logger:           c.Logger,
	})
	return s
}

func (s *Server) openSession(conn net.Conn) callers.Session {
	sess := newSession(s, conn)
	s.processIDs.add(sess)
	return sess
}

// processIDBits is the number of low bits of a process ID that identify a session within
// its instance. They allow more sessions than the settings allow callers, so that
// there is always a free ID.
const processIDBits = 20

// PrefixOfProcessID returns the part of a process ID that identifies its instance.
func PrefixOfProcessID(processID uint32) uint32 { return processID >> processIDBits }

// ProcessIDPrefix returns the upper bits that all process IDs of an instance share.
func ProcessIDPrefix(instance string) uint32 {
	return uint32(xxhash.Sum64String(instance)) >> processIDBits
}

// Close stops the workers that serve sessions. Drain must be called first.
func (s *Server) Close() { s.workers.stop() }

// Cancel cancels the running statement of the session that a cancel request names, if
// the session is on this instance and the secret is correct.
func (s *Server) Cancel(processID, secret uint32) {
	sess := s.processIDs.find(processID)
	if sess == nil || sess.secret != secret {
		return
	}
	s.config.Metrics.cancels.Inc()
	sess.cancel()
}
