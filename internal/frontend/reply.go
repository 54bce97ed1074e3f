package frontend

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

const (
	statusIdle   = byte(wire.Idle)
	statusFailed = byte(wire.InFailedTransaction)

	// sqlStateAdminShutdown is PostgreSQL's SQLSTATE admin_shutdown.
	sqlStateAdminShutdown = "57P01"
	// sqlStateInFailedTransaction is PostgreSQL's SQLSTATE in_failed_sql_transaction.
	sqlStateInFailedTransaction = "25P02"
)

var encodedSync = encode(&pgproto3.Sync{})

func encode(messages ...pgproto3.Message) []byte {
	var bytes []byte
	for _, m := range messages {
		b, err := m.Encode(bytes)
		if err != nil {
			panic(fmt.Sprintf("frontend: message cannot be encoded: %v", err))
		}
		bytes = b
	}
	return bytes
}

func fatalResponse(sqlState, message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: sqlState, Message: message}
}

// errorResponse converts an error to an ErrorResponse with the SQLSTATE of the result
// code, the code's number in the message, and the retry delay in the detail.
func errorResponse(err error) *pgproto3.ErrorResponse {
	e, ok := result.As(err)
	if !ok {
		e = result.New(result.ConnectionLost, "internal error").WithCause(err)
	}
	r := &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                e.Code.SQLState(),
		Message:             e.Error(),
	}
	if e.RetryAfter > 0 {
		r.Detail = fmt.Sprintf("retry_after_ms=%d", max(1, e.RetryAfter.Milliseconds()))
	}
	return r
}

// write sends bytes to the caller within the write timeout. Without the timeout, a
// caller that does not read a large reply would occupy a member's connection.
func (s *session) write(bytes []byte) error {
	deadline := s.server.config.Clock.Now().Add(s.server.config.WriteTimeout)
	if err := s.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := s.conn.Write(bytes)
	if err == nil {
		return nil
	}
	// Part of a message may have been sent. Anything written after it, such as an
	// error about this failure, would be read as the rest of that message.
	s.conn.Close()
	if isTimeout(err) {
		s.server.config.Metrics.stalledWrites.Inc()
	}
	return err
}

func (s *session) send(messages ...pgproto3.Message) bool {
	return s.write(encode(messages...)) == nil
}

// sendReply sends the caller the reply to a request.
func (s *session) sendReply(r *request, reply *execution.Reply) bool {
	bytes := append(s.applyReply(r, reply), encode(&pgproto3.ReadyForQuery{TxStatus: reply.TransactionStatus})...)
	return s.write(bytes) == nil
}

// applyReply updates the session from a reply. It returns the reply's messages,
// followed by the session token if it has changed.
func (s *session) applyReply(r *request, reply *execution.Reply) []byte {
	bytes := reply.Messages
	changed := s.state.ApplyReply(reply)
	s.updateValues(r, reply)
	if changed {
		bytes = append(bytes, encode(s.tokenStatus())...)
	}
	return bytes
}

func (s *session) tokenStatus() *pgproto3.ParameterStatus {
	return &pgproto3.ParameterStatus{Name: TokenParameter, Value: s.state.Token().String()}
}

// sendError replies to a unit with its error. If a transaction was open, it is
// abandoned, and the caller must still end it with ROLLBACK or COMMIT.
func (s *session) sendError(err error, inTransaction bool) bool {
	if inTransaction {
		s.loseTransaction()
	}
	if e, ok := result.As(err); ok {
		s.server.config.Metrics.countError(e)
	}
	return s.send(errorResponse(err), &pgproto3.ReadyForQuery{TxStatus: s.status()})
}

// loseTransaction abandons the open transaction and its setting changes.
func (s *session) loseTransaction() {
	s.state.LoseTransaction(s.server.config.Executor)
	s.pendingSettings = nil
}

// status returns the transaction status to report to the caller.
func (s *session) status() byte { return byte(s.state.Status()) }

// rolledBack reports whether the last command tag in a reply is ROLLBACK. That is
// also the tag of a COMMIT in a failed transaction.
func rolledBack(messages []byte) bool {
	last := ""
	for len(messages) >= headerSize {
		size := 1 + int(binary.BigEndian.Uint32(messages[1:headerSize]))
		if size > len(messages) {
			break
		}
		if messages[0] == 'C' {
			last = string(messages[headerSize:size])
		}
		messages = messages[size:]
	}
	return strings.HasPrefix(last, "ROLLBACK")
}

// replyInLostTransaction replies to a unit in a lost transaction. A statement that
// ends the transaction gets the command tag ROLLBACK. Any other statement gets the error
// that PostgreSQL sends in a failed transaction.
func (s *session) replyInLostTransaction(u *execution.Unit, sql string) bool {
	if !hintEndsTransaction(sql) {
		e := &pgproto3.ErrorResponse{
			Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlStateInFailedTransaction,
			Message: "current transaction is aborted, commands ignored until end of transaction block",
		}
		return s.send(e, &pgproto3.ReadyForQuery{TxStatus: statusFailed})
	}
	bytes := stepReplies(u.Shape)
	if u.Shape == "" || strings.IndexByte(u.Shape, execution.StepExecute) >= 0 {
		s.state.ClearLostTransaction()
	}
	if u.Shape == "" {
		bytes = encode(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	}
	return s.write(append(bytes, encode(&pgproto3.ReadyForQuery{TxStatus: s.status()})...)) == nil
}

// stepReplies returns the replies to extended-protocol steps that the instance
// answers itself. Execute gets the command tag ROLLBACK.
func stepReplies(shape string) []byte {
	var bytes []byte
	for i := range len(shape) {
		switch shape[i] {
		case execution.StepParse, execution.StepSyntheticParse:
			bytes = append(bytes, encode(&pgproto3.ParseComplete{})...)
		case execution.StepBind:
			bytes = append(bytes, encode(&pgproto3.BindComplete{})...)
		case execution.StepDescribe:
			bytes = append(bytes, encode(&pgproto3.NoData{})...)
		case execution.StepExecute:
			bytes = append(bytes, encode(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})...)
		case execution.StepClose, execution.StepSyntheticClose:
			bytes = append(bytes, encode(&pgproto3.CloseComplete{})...)
		}
	}
	return bytes
}

// replyLocally replies to a batch that does not have to be sent to a member.
func (s *session) replyLocally(b *batch) bool {
	return s.write(append(stepReplies(string(b.shape)), encode(&pgproto3.ReadyForQuery{TxStatus: s.status()})...)) == nil
}

// setToken runs SET topazrock.token, which a caller uses to carry over its token from
// another instance.
func (s *session) setToken(text string) bool {
	t, err := s.parseSessionToken(text)
	if err != nil {
		return s.sendError(err, false)
	}
	s.state.Positions.Raise(t)
	if !t.IsZero() {
		s.state.Roaming = false
	}
	return s.send(
		&pgproto3.CommandComplete{CommandTag: []byte("SET")},
		s.tokenStatus(),
		&pgproto3.ReadyForQuery{TxStatus: s.status()},
	)
}

func (s *session) parseSessionToken(text string) (logpos.Token, error) {
	t, err := logpos.ParseToken(text)
	if err != nil {
		return t, result.New(result.BadToken, "%.80q", text)
	}
	if !t.IsZero() && t.Group != s.state.Group {
		return t, result.New(result.BadToken, "it is of group %q, the session uses %q", t.Group, s.state.Group)
	}
	return t, nil
}
