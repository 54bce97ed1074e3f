package frontend

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/callers"
	"github.com/topazrock/topazrock/internal/document"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/xdg-go/scram"
)

// saslMechanism is the only supported SASL mechanism.
const saslMechanism = "SCRAM-SHA-256"

// noDeadline clears a connection's deadlines.
var noDeadline time.Time

// authenticate checks the caller's user and password against the service
// document. An unknown user and a wrong password get the same error after the
// same exchange, so that the reply does not reveal which users exist.
func (s *session) authenticate(backend *pgproto3.Backend, m *pgproto3.StartupMessage) error {
	directory := s.server.config.Directory
	if !directory.Ready() {
		return result.New(result.NotReady, "no service document is known yet").WithRetryAfter(callers.RetryAfterRejection)
	}
	service, ok := directory.FindService(s.state.Group)
	if !ok {
		return result.New(result.UnknownGroup, "%q", s.state.Group)
	}
	user, known := service.FindUser(m.Parameters["user"])
	credentials := decoyCredentials
	if known {
		c, err := document.ParseVerifier(user.Verifier)
		if err != nil {
			return result.New(result.AuthFailed, "user %q", user.Name).WithCause(err)
		}
		credentials = c
	}
	if err := s.exchangeSCRAM(backend, credentials); err != nil || !known {
		return result.New(result.AuthFailed, "user %q", m.Parameters["user"])
	}
	s.user = user.Name
	return nil
}

// decoyCredentials are used for an unknown user, so that the exchange is the same as for a
// known one. They match no password.
var decoyCredentials = scram.StoredCredentials{
	KeyFactors: scram.KeyFactors{Salt: "topazrock-no-user", Iters: 4096},
	StoredKey:  make([]byte, 32),
	ServerKey:  make([]byte, 32),
}

func (s *session) exchangeSCRAM(backend *pgproto3.Backend, credentials scram.StoredCredentials) error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	if !s.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}}) {
		return errMalformed
	}
	first, err := receiveInitial(backend)
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return err
	}
	if !s.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}) {
		return errMalformed
	}
	final, err := receiveFinal(backend)
	if err != nil {
		return err
	}
	proof, err := conversation.Step(final)
	if err != nil {
		return err
	}
	if !s.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)}) {
		return errMalformed
	}
	return nil
}

func receiveInitial(backend *pgproto3.Backend) (string, error) {
	if err := backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return "", err
	}
	m, err := backend.Receive()
	if err != nil {
		return "", err
	}
	r, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok || r.AuthMechanism != saslMechanism {
		return "", errMalformed
	}
	return string(r.Data), nil
}

func receiveFinal(backend *pgproto3.Backend) (string, error) {
	if err := backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return "", err
	}
	m, err := backend.Receive()
	if err != nil {
		return "", err
	}
	r, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return "", errMalformed
	}
	return string(r.Data), nil
}
