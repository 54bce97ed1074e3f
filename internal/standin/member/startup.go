package member

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// ControlApplication is the application name of control connections, which
// count apart from data connections.
const ControlApplication = "topazrock-control"

// secretSize is the size of a cancel key, in bytes.
const secretSize = 4

// startupParameters are reported to every client.
var startupParameters = [][2]string{
	{"server_version", "17.0"},
	{"client_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
	{"integer_datetimes", "on"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
}

// serve handles one connection from its first byte: the start-up message of
// PostgreSQL begins with its length, whose first byte is zero.
func (n *Node) serve(l *life, conn net.Conn) {
	in := bufio.NewReader(conn)
	first, err := in.Peek(1)
	if err != nil {
		return
	}
	if first[0] != 0 {
		n.serveLine(l, conn, in)
		return
	}
	n.servePostgres(l, &peeked{Conn: conn, in: in})
}

// peeked is a connection of which some bytes were read ahead.
type peeked struct {
	net.Conn
	in *bufio.Reader
}

// Read implements net.Conn.
func (p *peeked) Read(b []byte) (int, error) { return p.in.Read(b) }

func (n *Node) servePostgres(l *life, conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			if m.Parameters["replication"] == "true" {
				n.sendLog(l, conn)
			} else {
				n.serveSession(l, conn, backend, m.Parameters["application_name"] == ControlApplication)
			}
			return
		case *pgproto3.CancelRequest:
			n.cancel(m.ProcessID, string(m.SecretKey))
			return
		default: // a request for encryption
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return
			}
		}
	}
}

func (n *Node) serveSession(l *life, conn net.Conn, backend *pgproto3.Backend, control bool) {
	if err := n.admit(control); err != nil {
		var refused *sqlError
		if errors.As(err, &refused) {
			backend.Send(refused.response("FATAL"))
			_ = backend.Flush()
		}
		return
	}
	defer n.leave(control)
	if wait := n.opts.ConnectDelay; wait > 0 && pause(l.ctx, wait) != nil {
		return
	}
	s := &session{node: n, life: l, backend: backend, secret: rand.Text()[:secretSize]}
	s.reset()
	pid := n.register(s)
	defer n.unregister(pid, s)
	backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startupParameters {
		backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte(s.secret)})
	s.ready()
	s.serve()
}

func (n *Node) register(s *session) uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextPID++
	n.sessions[n.nextPID] = s
	return n.nextPID
}

func (n *Node) unregister(pid uint32, s *session) {
	n.mu.Lock()
	delete(n.sessions, pid)
	n.mu.Unlock()
	s.abort()
}

// cancel ends the statement that the session runs now, if there is one.
func (n *Node) cancel(pid uint32, secret string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.sessions[pid]; s != nil && s.secret == secret && s.cancelRunning != nil {
		s.cancelRunning()
	}
}

// running makes the context of a statement that a cancel request can end.
func (s *session) running() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.life.ctx)
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
