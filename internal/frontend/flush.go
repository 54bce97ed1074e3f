package frontend

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
)

// handleFlush replies to the messages that a batch has so far, before its Sync. Some
// drivers use Flush to get the description of a statement. Only messages that prepare
// or describe statements can get an early reply. Messages that run statements form one
// unit with the Sync, because their outcome is not known before it.
func (s *session) handleFlush(b **batch) bool {
	switch {
	case (*b).isEmpty() || (*b).errorReported:
		return true
	case (*b).failure != nil:
		return s.sendErrorBeforeSync(*b, (*b).failure)
	case s.state.TransactionLost() || (*b).executes():
		return s.sendErrorBeforeSync(*b, result.New(result.NotSupported, "Flush behind a statement that runs"))
	case (*b).isLocal():
		completed := *b
		*b = &batch{session: s}
		return s.write(stepReplies(string(completed.shape))) == nil
	}
	r := (*b).toRequest()
	reply, err := s.submit(r)
	if err != nil {
		return s.sendErrorBeforeSync(*b, err)
	}
	(*b).errorReported = reply.Failed
	if !reply.Failed {
		*b = &batch{session: s}
	}
	return s.write(s.applyReply(r, reply)) == nil
}

// sendErrorBeforeSync sends a batch's error before its Sync. The Sync is then answered with
// ReadyForQuery alone.
func (s *session) sendErrorBeforeSync(b *batch, err error) bool {
	b.failure, b.errorReported = err, true
	if s.state.Transaction != "" {
		s.loseTransaction()
	}
	if e, ok := result.As(err); ok {
		s.server.config.Metrics.countError(e)
	}
	return s.send(errorResponse(err))
}

// sendReady sends ReadyForQuery with the transaction status.
func (s *session) sendReady() bool {
	return s.send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
}

// toRequest returns the batch and its Sync as one request.
func (b *batch) toRequest() *request {
	u := &execution.Unit{
		Messages:   append(b.messages, encodedSync...),
		Shape:      string(b.shape),
		Statements: b.statements,
		Unnamed:    b.unnamed,
	}
	return &request{unit: u, sql: b.sql, batch: b, settings: b.settings, otherEffects: b.otherEffects}
}

// executes reports whether the batch does more than prepare and describe statements.
func (b *batch) executes() bool {
	for _, step := range b.shape {
		if step == execution.StepBind || step == execution.StepExecute {
			return true
		}
	}
	return false
}
