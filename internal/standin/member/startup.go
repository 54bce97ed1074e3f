package member

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// ControlApplication is the application name of control connections, which are
// counted separately and not limited.
const ControlApplication = "topazrock-control"

// cancelKeySize is the size of the secret key of a cancel request, in bytes.
const cancelKeySize = 4

// reportedParameters are sent to every client at startup, as ParameterStatus.
var reportedParameters = [][2]string{
	{"server_version", "17.0"},
	{"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
	{"integer_datetimes", "on"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
}

// serveConn serves a connection. It detects the protocol by the first byte: a startup
// message of PostgreSQL begins with its length, whose first byte is zero.
func (n *Node) serveConn(proc *process, conn net.Conn) {
	in := bufio.NewReader(conn)
	first, err := in.Peek(1)
	if err != nil {
		return
	}
	if first[0] != 0 {
		n.serveLine(proc, conn, in)
		return
	}
	n.servePostgres(proc, &peekedConn{Conn: conn, in: in})
}

// peekedConn is a connection of which some bytes have been read into a buffer.
type peekedConn struct {
	net.Conn
	in *bufio.Reader
}

// Read implements net.Conn.
func (p *peekedConn) Read(b []byte) (int, error) { return p.in.Read(b) }

func (n *Node) servePostgres(proc *process, conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			if m.Parameters["replication"] == "true" {
				n.serveReplica(proc, conn)
			} else {
				n.serveSession(proc, conn, backend, m.Parameters["application_name"] == ControlApplication)
			}
			return
		case *pgproto3.CancelRequest:
			n.cancelStatement(m.ProcessID, string(m.SecretKey))
			return
		default: // a request for encryption
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
		}
	}
}

func (n *Node) serveSession(proc *process, conn net.Conn, backend *pgproto3.Backend, control bool) {
	if err := n.admitConnection(control); err != nil {
		var refused *sqlError
		if errors.As(err, &refused) {
			backend.Send(refused.response("FATAL"))
			_ = backend.Flush()
		}
		return
	}
	defer n.releaseConnection(control)
	if delay := n.opts.ConnectDelay; delay > 0 && sleep(proc.ctx, delay) != nil {
		return
	}
	s := &session{node: n, process: proc, backend: backend, cancelKey: rand.Text()[:cancelKeySize]}
	s.resetSession()
	pid := n.registerSession(s)
	defer n.unregisterSession(pid, s)
	backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte(s.cancelKey)})
	s.sendReady()
	s.serveMessages()
}

func (n *Node) registerSession(s *session) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPID++
	n.sessions[n.nextPID] = s
	return n.nextPID
}

func (n *Node) unregisterSession(pid uint32, s *session) {
	n.mu.Lock()
	delete(n.sessions, pid)
	n.mu.Unlock()
	s.rollbackOpen()
}

// cancelStatement cancels the running statement of a session, if any, provided that
// the key matches.
func (n *Node) cancelStatement(pid uint32, secret string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.sessions[pid]; s != nil && s.cancelKey == secret && s.cancelRunning != nil {
		s.cancelRunning()
	}
}

// cancellableContext returns a context for one statement, which a cancel request can
// cancel, and a function to call when the statement ends.
func (s *session) cancellableContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.process.ctx)
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	s.cancelRunning = cancel
	return ctx, func() {
		s.node.mu.Lock()
		defer s.node.mu.Unlock()
		s.cancelRunning = nil
		cancel()
	}
}
