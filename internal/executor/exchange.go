package executor

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
	"github.com/topazrock/topazrock/internal/member/pgcontrol"
	"github.com/topazrock/topazrock/internal/upstream"
)

// errCopyIn says that a statement asked for the caller's copy data.
var errCopyIn = errors.New("COPY FROM STDIN is not supported")

// exchange sends pipelined parts on one connection and reads their answers.
type exchange struct {
	conn   *upstream.Conn
	answer *answer
	// prepared holds the statements that the prepare part defines.
	prepared []string
	// prepareFailure, keyFailure and commitFailure are errors of those parts.
	prepareFailure *pgproto3.ErrorResponse
	keyFailure     *pgproto3.ErrorResponse
	commitFailure  *pgproto3.ErrorResponse
	// committed says that the commit part answered COMMIT.
	committed bool
	// keyOutcome is the row that a look-up of a key returned.
	keyOutcome string
	// keyed says that the outcome can be settled by a request key, for which some
	// of the time is kept back.
	keyed bool
	// term is the one that the member led in when the exchange was begun.
	term logpos.Term
	// status is the report pipelined behind the unit; nil when it was not asked
	// for or failed.
	status *member.Status
	// final is the transaction status after the last part but the report.
	final byte
}

func newExchange(c *upstream.Conn, u *execution.Unit, bound int, partial func([]byte) error) *exchange {
	a := &answer{shape: u.Shape, bound: bound, partial: partial}
	return &exchange{conn: c, answer: a}
}

// run sends the parts in one write and reads every answer. An error means that
// the connection is spoiled and that what was sent may have run.
func (x *exchange) run(parts []part) error {
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
		if err := x.read(p.kind); err != nil {
			x.conn.Spoil()
			return err
		}
	}
	x.finish()
	return nil
}

// finish settles what follows from all parts together.
func (x *exchange) finish() {
	if x.prepareFailure != nil {
		// The unit's own error only says that the statement is missing.
		x.answer.fail(x.prepareFailure)
		x.conn.Spoil()
	} else {
		for _, name := range x.prepared {
			x.conn.MarkPrepared(name)
		}
	}
	if x.commitFailure != nil {
		x.answer.fail(x.commitFailure)
	}
	if x.answer.unclean {
		x.conn.Spoil()
	}
}

// read reads the answer of one part, through its ReadyForQuery.
func (x *exchange) read(kind partKind) error {
	var row [][]byte
	for {
		m, err := x.conn.Receive()
		if err != nil {
			return err
		}
		if err := x.take(kind, m, &row); err != nil {
			return err
		}
		ready, ok := m.(*pgproto3.ReadyForQuery)
		if !ok {
			continue
		}
		x.conclude(kind, ready, row)
		return nil
	}
}

func (x *exchange) conclude(kind partKind, ready *pgproto3.ReadyForQuery, row [][]byte) {
	if kind == partStatus {
		x.status = parseReport(row)
		return
	}
	x.final = ready.TxStatus
	if kind == partKey && len(row) == 1 {
		x.keyOutcome = string(row[0])
	}
}

func (x *exchange) take(kind partKind, m pgproto3.BackendMessage, row *[][]byte) error {
	if _, ok := m.(*pgproto3.CopyInResponse); ok {
		// Copy data does not fit into a unit. Closing the connection makes the
		// member drop the copy; waiting for its answer would hold it for ever.
		return errCopyIn
	}
	if kind == partUnit {
		return x.answer.add(m)
	}
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		x.fail(kind, m)
	case *pgproto3.DataRow:
		*row = cloneRow(m.Values)
	case *pgproto3.CommandComplete:
		if kind == partCommit && string(m.CommandTag) == "COMMIT" {
			x.committed = true
		}
	}
	return nil
}

func (x *exchange) fail(kind partKind, m *pgproto3.ErrorResponse) {
	e := *m
	switch kind {
	case partPrepare:
		x.prepareFailure = &e
	case partKey:
		x.keyFailure = &e
	case partBegin, partCommit:
		x.commitFailure = &e
	}
}

func parseReport(row [][]byte) *member.Status {
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
