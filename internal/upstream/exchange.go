package upstream

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
	"github.com/topazrock/topazrock/internal/wire"
)

// errCopyIn is returned when a statement asks for copy data from the caller.
var errCopyIn = errors.New("COPY FROM STDIN is not supported")

// exchange sends pipelined parts on one connection and reads the responses.
type exchange struct {
	conn     *Conn
	outcome  *wire.Outcome
	response response
	// preparedNames holds the names of the statements that the prepare part defines.
	preparedNames []string
	// prepareFailure is the error of the prepare part, transactionFailure that of BEGIN
	// or COMMIT.
	prepareFailure     *pgproto3.ErrorResponse
	transactionFailure *pgproto3.ErrorResponse
}

// Run implements wire.Conn.
func (c *Conn) Run(request *wire.Exchange) error {
	x := &exchange{conn: c, outcome: &request.Outcome}
	if applied, err := x.applySessionValues(request.Unit); err != nil || !applied {
		return err
	}
	c.expectsParameterChanges = request.Unit.OnlySetsValues
	x.response = response{remainingSteps: request.Unit.Shape, setsValues: request.Unit.OnlySetsValues, flushThreshold: request.ResponseBuffer, sendPartial: request.Partial}
	parts := make([]part, 0, len(request.Steps)+1)
	if prepare, names, ok := preparePart(c, request.Unit); ok {
		x.preparedNames = names
		parts = append(parts, prepare)
	}
	for _, s := range request.Steps {
		parts = append(parts, encodeStep(s, request.Unit))
	}
	err := x.runParts(parts)
	c.recordSessionValues(request.Unit, &x.response)
	x.outcome.Messages, x.outcome.Streamed, x.outcome.Completed = x.response.messages, x.response.streamed, x.response.completed
	x.outcome.Failure = failureOf(x.response.failure)
	return err
}

// runParts sends the parts in one write and reads every response.
func (x *exchange) runParts(parts []part) error {
	size := 0
	for _, p := range parts {
		size += len(p.bytes)
	}
	bytes := make([]byte, 0, size)
	for _, p := range parts {
		bytes = append(bytes, p.bytes...)
	}
	if err := x.conn.Send(bytes, len(parts)); err != nil {
		return err
	}
	for _, p := range parts {
		if err := x.readPart(p.kind); err != nil {
			x.conn.MarkUnusable()
			return err
		}
	}
	x.applyResults()
	return nil
}

// applyResults updates the response and the connection once all parts have been answered.
func (x *exchange) applyResults() {
	if x.prepareFailure != nil {
		// The unit's own error only reports that the prepared statement does not exist;
		// the prepare part's error is the cause.
		x.response.replaceWithError(x.prepareFailure)
		x.conn.MarkUnusable()
	} else {
		for _, name := range x.preparedNames {
			x.conn.MarkPrepared(name)
		}
	}
	if x.transactionFailure != nil {
		x.response.replaceWithError(x.transactionFailure)
	}
	if x.response.leavesState {
		x.conn.MarkUnusable()
	}
}

// readPart reads the response to one part, up to and including its ReadyForQuery.
func (x *exchange) readPart(kind wire.StepKind) error {
	var row [][]byte
	for {
		m, err := x.conn.Receive()
		if err != nil {
			return err
		}
		if err := x.handleMessage(kind, m, &row); err != nil {
			return err
		}
		ready, ok := m.(*pgproto3.ReadyForQuery)
		if !ok {
			continue
		}
		x.finishPart(kind, ready, row)
		return nil
	}
}

func (x *exchange) finishPart(kind wire.StepKind, ready *pgproto3.ReadyForQuery, row [][]byte) {
	if kind == wire.StepMemberStatus {
		x.outcome.MemberStatus = parseStatus(row)
		return
	}
	x.outcome.TxStatus = wire.Status(ready.TxStatus)
	if kind == wire.StepFindKey && len(row) == 1 {
		x.outcome.KeyOutcome = wire.KeyOutcome(row[0])
	}
}

func (x *exchange) handleMessage(kind wire.StepKind, m pgproto3.BackendMessage, row *[][]byte) error {
	if _, ok := m.(*pgproto3.CopyInResponse); ok {
		// A unit cannot contain the copy data that the member now waits for. Closing the
		// connection makes the member abort the copy; waiting for the response would
		// block forever.
		return errCopyIn
	}
	if kind == wire.StepUnit {
		return x.response.addMessage(m)
	}
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		x.recordError(kind, m)
	case *pgproto3.DataRow:
		*row = cloneRow(m.Values)
	case *pgproto3.CommandComplete:
		if kind == wire.StepCommit && string(m.CommandTag) == "COMMIT" {
			x.outcome.Committed = true
		}
	}
	return nil
}

func (x *exchange) recordError(kind wire.StepKind, m *pgproto3.ErrorResponse) {
	e := *m
	switch kind {
	case partSessionValues:
		x.response.replaceWithError(&e)
	case partPrepare:
		x.prepareFailure = &e
	case wire.StepStoreKey, wire.StepFindKey:
		x.outcome.KeyFailure = failureOf(&e)
	case wire.StepBegin, wire.StepCommit:
		x.transactionFailure = &e
	}
}

// SQLSTATEs that are mapped to a wire.FailureKind.
const (
	// uniqueViolationCode is returned for an insert whose key exists.
	uniqueViolationCode = "23505"
	// readOnlyTransactionCode is returned by a member that accepts no writes.
	readOnlyTransactionCode = "25006"
)

func failureOf(e *pgproto3.ErrorResponse) *wire.Failure {
	if e == nil {
		return nil
	}
	f := &wire.Failure{Code: e.Code, Message: e.Message}
	switch e.Code {
	case uniqueViolationCode:
		f.Kind = wire.FailureKeyExists
	case readOnlyTransactionCode:
		f.Kind = wire.FailureReadOnly
	}
	return f
}

func parseStatus(row [][]byte) *member.Status {
	if row == nil {
		return nil
	}
	s, err := pgcontrol.ParseStatus(row)
	if err != nil {
		return nil
	}
	return &s
}

func cloneRow(values [][]byte) [][]byte {
	row := make([][]byte, len(values))
	for i, v := range values {
		row[i] = append([]byte(nil), v...)
	}
	return row
}
