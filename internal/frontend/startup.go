package frontend

import (
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/callers"
	"github.com/topazrock/topazrock/internal/result"
)

// refusedEncryption is the answer to a request for TLS or GSS encryption, which
// the instance leaves to the balancer in front of it.
const refusedEncryption = 'N'

// maxStartupBody bounds each message before the caller is authenticated, in
// bytes. Those of SCRAM are a few hundred.
const maxStartupBody = 16 << 10

// newBackend returns the codec of a connection's start. The codec has no bound
// of its own and sets aside what a message claims to hold: anybody who reaches
// the port could take gigabytes with five bytes, before any password.
func newBackend(conn io.ReadWriter) *pgproto3.Backend {
	b := pgproto3.NewBackend(conn, conn)
	b.SetMaxBodyLen(maxStartupBody)
	return b
}

// refuse tells a caller that was never registered why.
func (s *Server) refuse(conn net.Conn, err *result.Error) {
	s.config.Metrics.refused(err)
	_ = conn.SetDeadline(s.config.Clock.Now().Add(s.config.StartupTimeout))
	backend := newBackend(conn)
	message, receiveErr := receiveStartup(conn, backend)
	if receiveErr != nil {
		return
	}
	if cancel, ok := message.(*pgproto3.CancelRequest); ok {
		s.cancelRequest(cancel)
		return
	}
	r := errorResponse(err)
	r.Severity, r.SeverityUnlocalized = "FATAL", "FATAL"
	_, _ = conn.Write(encode(r))
}

// start brings the session from accept to its first ReadyForQuery.
func (n *session) start() bool {
	deadline := n.server.config.Clock.Now().Add(n.server.config.StartupTimeout)
	first, err := n.firstByte(deadline)
	if errors.Is(err, callers.ErrWoken) {
		n.leave(errDraining)
		return false
	}
	if err != nil {
		n.broken(err)
		return false
	}
	if err := n.conn.SetDeadline(deadline); err != nil {
		return false
	}
	backend := newBackend(begun{n.conn, io.MultiReader(bytes.NewReader([]byte{first}), n.conn)})
	message, err := receiveStartup(n.conn, backend)
	if err != nil {
		n.broken(err)
		return false
	}
	switch m := message.(type) {
	case *pgproto3.CancelRequest:
		n.server.cancelRequest(m)
		return false
	case *pgproto3.StartupMessage:
		return n.admit(backend, m)
	}
	return false
}

// begun is a connection of which the first bytes were read already.
type begun struct {
	io.Writer
	io.Reader
}

// receiveStartup reads the start-up message, past requests for encryption.
func receiveStartup(conn net.Conn, backend *pgproto3.Backend) (pgproto3.FrontendMessage, error) {
	for {
		m, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{refusedEncryption}); err != nil {
				return nil, err
			}
		default:
			return m, nil
		}
	}
}

func (s *Server) cancelRequest(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	secret := uint32(m.SecretKey[0])<<24 | uint32(m.SecretKey[1])<<16 | uint32(m.SecretKey[2])<<8 | uint32(m.SecretKey[3])
	if PrefixOf(m.ProcessID) != s.ids.prefix && s.config.ForeignCancel != nil {
		s.config.ForeignCancel(m.ProcessID, secret)
		return
	}
	s.Cancel(m.ProcessID, secret)
}

// admit checks who the caller is and what it wants, and tells it the initial settings.
func (n *session) admit(backend *pgproto3.Backend, m *pgproto3.StartupMessage) bool {
	n.state.Group = m.Parameters["database"]
	err := n.authenticate(backend, m)
	if err == nil {
		err = n.takeParameters(m.Parameters)
	}
	if err == nil {
		err = n.takeValues(m.Parameters)
	}
	if err != nil {
		n.refuseStartup(err)
		return false
	}
	secret := []byte{byte(n.secret >> 24), byte(n.secret >> 16), byte(n.secret >> 8), byte(n.secret)}
	welcome := encode(
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: serverVersion},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: initialSettings["client_encoding"]},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "DateStyle", Value: initialSettings["datestyle"]},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		n.tokenStatus(),
		&pgproto3.BackendKeyData{ProcessID: n.processID, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: statusIdle},
	)
	if n.write(welcome) != nil {
		return false
	}
	return n.conn.SetDeadline(noDeadline) == nil
}

// initialSettings holds the values that a session is told to begin with, by setting. A
// caller that asks for one of them needs nothing.
var initialSettings = map[string]string{
	"client_encoding": "UTF8",
	"datestyle":       "ISO, MDY",
}

// serverVersion is what clients learn as the server's version.
const serverVersion = "16.0 (topazrock)"

func (n *session) refuseStartup(err error) {
	if e, ok := result.As(err); ok {
		n.server.config.Metrics.refused(e)
	}
	r := errorResponse(err)
	r.Severity, r.SeverityUnlocalized = "FATAL", "FATAL"
	if e, ok := result.As(err); ok && e.Code == result.AuthFailed {
		// Drivers know PostgreSQL's own code for a wrong password.
		r.Code = invalidPassword
	}
	n.send(r)
}

// invalidPassword is PostgreSQL's SQLSTATE invalid_password.
const invalidPassword = "28P01"

// takeParameters takes the session's token from the start-up parameters. It may
// come as a parameter of its own or in options, as -c topazrock.token=....
func (n *session) takeParameters(parameters map[string]string) error {
	text, ok := parameters[TokenParameter]
	if !ok {
		text, ok = optionValues(parameters["options"])[TokenParameter]
	}
	if !ok || text == "" {
		return nil
	}
	t, err := n.checkToken(text)
	if err != nil {
		return err
	}
	n.state.Token = t
	n.state.Roaming = false
	return nil
}
