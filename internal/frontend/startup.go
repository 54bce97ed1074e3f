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

// encryptionRefused is the reply to a request for TLS or GSS encryption, which is
// handled by the load balancer in front of the instance.
const encryptionRefused = 'N'

// maxStartupBody limits each message before the caller is authenticated, in
// bytes. SCRAM messages take a few hundred.
const maxStartupBody = 16 << 10

// newBackend returns the codec for the start of a connection. By default the codec
// has no size limit and allocates the length that a message declares: without the
// limit, anyone who can reach the port could make the instance allocate gigabytes
// with five bytes, before authentication.
func newBackend(conn io.ReadWriter) *pgproto3.Backend {
	b := pgproto3.NewBackend(conn, conn)
	b.SetMaxBodyLen(maxStartupBody)
	return b
}

// refuse sends the reason to a caller whose connection was rejected.
func (s *Server) refuse(conn net.Conn, err *result.Error) {
	s.config.Metrics.countError(err)
	_ = conn.SetDeadline(s.config.Clock.Now().Add(s.config.StartupTimeout))
	backend := newBackend(conn)
	message, receiveErr := receiveStartup(conn, backend)
	if receiveErr != nil {
		return
	}
	if cancel, ok := message.(*pgproto3.CancelRequest); ok {
		s.handleCancelRequest(cancel)
		return
	}
	r := errorResponse(err)
	r.Severity, r.SeverityUnlocalized = "FATAL", "FATAL"
	_, _ = conn.Write(encode(r))
}

// start runs the start-up of the session, up to its first ReadyForQuery.
func (s *session) start() bool {
	deadline := s.server.config.Clock.Now().Add(s.server.config.StartupTimeout)
	first, err := s.readFirstByte(deadline)
	if errors.Is(err, callers.ErrWoken) {
		s.sendShutdownNotice(errDraining)
		return false
	}
	if err != nil {
		s.reportProtocolError(err)
		return false
	}
	if err := s.conn.SetDeadline(deadline); err != nil {
		return false
	}
	backend := newBackend(startupConn{s.conn, io.MultiReader(bytes.NewReader([]byte{first}), s.conn)})
	message, err := receiveStartup(s.conn, backend)
	if err != nil {
		s.reportProtocolError(err)
		return false
	}
	switch m := message.(type) {
	case *pgproto3.CancelRequest:
		s.server.handleCancelRequest(m)
		return false
	case *pgproto3.StartupMessage:
		return s.completeStartup(backend, m)
	}
	return false
}

// startupConn is a connection whose Reader first returns the byte that has already
// been read from it.
type startupConn struct {
	io.Writer
	io.Reader
}

// receiveStartup reads the start-up message, and refuses requests for encryption that
// precede it.
func receiveStartup(conn net.Conn, backend *pgproto3.Backend) (pgproto3.FrontendMessage, error) {
	for {
		m, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{encryptionRefused}); err != nil {
				return nil, err
			}
		default:
			return m, nil
		}
	}
}

func (s *Server) handleCancelRequest(m *pgproto3.CancelRequest) {
	if len(m.SecretKey) != 4 {
		return
	}
	secret := uint32(m.SecretKey[0])<<24 | uint32(m.SecretKey[1])<<16 | uint32(m.SecretKey[2])<<8 | uint32(m.SecretKey[3])
	if PrefixOfProcessID(m.ProcessID) != s.processIDs.prefix && s.config.ForwardCancel != nil {
		s.config.ForwardCancel(m.ProcessID, secret)
		return
	}
	s.Cancel(m.ProcessID, secret)
}

// completeStartup authenticates the caller, applies its start-up parameters, and sends it
// the initial settings.
func (s *session) completeStartup(backend *pgproto3.Backend, m *pgproto3.StartupMessage) bool {
	s.state.Group = m.Parameters["database"]
	err := s.authenticate(backend, m)
	if err == nil {
		err = s.applyStartupToken(m.Parameters)
	}
	if err == nil {
		err = s.applyStartupValues(m.Parameters)
	}
	if err != nil {
		s.refuseStartup(err)
		return false
	}
	secret := []byte{byte(s.secret >> 24), byte(s.secret >> 16), byte(s.secret >> 8), byte(s.secret)}
	startupReply := encode(
		&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: serverVersion},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: initialSettings["client_encoding"]},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "DateStyle", Value: initialSettings["datestyle"]},
		&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		s.tokenStatus(),
		&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: secret},
		&pgproto3.ReadyForQuery{TxStatus: statusIdle},
	)
	if s.write(startupReply) != nil {
		return false
	}
	return s.conn.SetDeadline(noDeadline) == nil
}

// initialSettings holds the initial values that are reported to a new session, by setting
// name. A start-up parameter with the same value is ignored.
var initialSettings = map[string]string{
	"client_encoding": "UTF8",
	"datestyle":       "ISO, MDY",
}

// serverVersion is the server version that is reported to clients.
const serverVersion = "16.0 (topazrock)"

func (s *session) refuseStartup(err error) {
	if e, ok := result.As(err); ok {
		s.server.config.Metrics.countError(e)
	}
	r := errorResponse(err)
	r.Severity, r.SeverityUnlocalized = "FATAL", "FATAL"
	if e, ok := result.As(err); ok && e.Code == result.AuthFailed {
		// Drivers recognize PostgreSQL's own code for a wrong password.
		r.Code = sqlStateInvalidPassword
	}
	s.send(r)
}

// sqlStateInvalidPassword is PostgreSQL's SQLSTATE invalid_password.
const sqlStateInvalidPassword = "28P01"

// applyStartupToken sets the session's token from the start-up parameters. The token
// is either a separate parameter or part of options, as -c topazrock.token=....
func (s *session) applyStartupToken(parameters map[string]string) error {
	text, ok := parameters[TokenParameter]
	if !ok {
		text, ok = parseOptions(parameters["options"])[TokenParameter]
	}
	if !ok || text == "" {
		return nil
	}
	t, err := s.parseSessionToken(text)
	if err != nil {
		return err
	}
	s.state.Positions.Raise(t)
	s.state.Roaming = false
	return nil
}
