package member

import (
	"context"
	"errors"
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushEvery is the number of rows after which a large result is flushed.
const flushEvery = 256

// session serves one client connection of the PostgreSQL protocol.
type session struct {
	node      *Node
	process   *process
	backend   *pgproto3.Backend
	cancelKey string
	settings  map[string]string
	// settingsBeforeTransaction are the settings before the first change by the open
	// transaction, or nil if it has not changed any.
	settingsBeforeTransaction map[string]string
	prepared                  map[string]*prepared
	portals                   map[string]*portal
	// tx is the open transaction, or nil; explicit means that BEGIN opened it. After
	// an error an explicit transaction has no tx, but remains open and failed until
	// the client ends it.
	tx               *transaction
	explicit, failed bool
	// skipUntilSync is set after an error: messages are ignored until Sync.
	skipUntilSync bool
	// cancelRunning cancels the running statement, if any. Node.mu guards it.
	cancelRunning context.CancelFunc
}

func (s *session) resetSession() {
	s.settings = maps.Clone(defaultSettings)
	for _, p := range reportedParameters {
		s.settings[strings.ToLower(p[0])] = p[1]
	}
	s.prepared = map[string]*prepared{}
	s.portals = map[string]*portal{}
}

func (s *session) serveMessages() {
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.Terminate:
			return
		case *pgproto3.Query:
			s.runQuery(m.String)
			err = s.sendReady()
		case *pgproto3.Sync:
			s.skipUntilSync = false
			s.sendError(s.commitImplicit())
			err = s.sendReady()
		case *pgproto3.Flush:
			err = s.backend.Flush()
		default:
			if !s.skipUntilSync {
				s.skipUntilSync = s.sendError(s.handleExtended(message))
			}
		}
		if err != nil {
			return
		}
	}
}

// sendReady sends the transaction status to the client and flushes the output.
func (s *session) sendReady() error {
	status := byte('I')
	switch {
	case s.failed:
		status = 'E'
	case s.explicit:
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.backend.Flush()
}

// sendError sends err to the client and fails the transaction. It returns false and
// does nothing if err is nil.
func (s *session) sendError(err error) bool {
	if err == nil {
		return false
	}
	var e *sqlError
	if !errors.As(err, &e) {
		e = &sqlError{stateProtocolViolation, err.Error()}
	}
	s.backend.Send(e.response("ERROR"))
	s.rollbackOpen()
	s.failed = s.explicit
	return true
}

// rollbackOpen rolls back the open transaction, if any, and so releases its locks.
func (s *session) rollbackOpen() {
	if s.tx != nil {
		s.node.rollback(s.tx)
		s.tx = nil
	}
}

// runQuery runs the statements of a simple query in one implicit transaction, unless
// an explicit one is open.
func (s *session) runQuery(sql string) {
	statements, err := parse(sql)
	if len(statements) == 0 && err == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, st := range statements {
		if err == nil && st.params > 0 {
			err = errSyntax
		}
		if err != nil {
			break
		}
		var res *result
		if res, err = s.runStatement(st, nil); err == nil {
			err = s.sendResult(res)
		}
	}
	if !s.sendError(err) {
		s.sendError(s.commitImplicit())
	}
}

func (s *session) sendResult(res *result) error {
	if res.columns != nil {
		s.backend.Send(rowDescription(res.columns, nil))
	}
	p := &portal{result: res}
	return s.sendRows(p, 0)
}

// runStatement runs one statement in the open transaction, or in a new implicit one.
func (s *session) runStatement(st *statement, args []string) (*result, error) {
	switch {
	case st.verb == verbCommit || st.verb == verbRollback:
		return s.endTransaction(st)
	case s.failed:
		return nil, &sqlError{stateAborted, "current transaction is aborted, commands ignored until end of transaction block"}
	case st.verb == verbBegin:
		s.explicit = true
		return &result{tag: st.tag}, nil
	}
	if s.tx == nil {
		s.tx = newTransaction(s.process)
	}
	if st.verb != verbControl {
		s.node.callHook("statement.before")
	}
	ctx, done := s.cancellableContext()
	defer done()
	return s.execute(ctx, st, args)
}

// endTransaction runs COMMIT or ROLLBACK. COMMIT of a failed transaction rolls back.
func (s *session) endTransaction(st *statement) (*result, error) {
	rollback := s.failed || st.verb == verbRollback
	s.explicit, s.failed = false, false
	s.endSettingChanges(rollback)
	if rollback {
		s.rollbackOpen()
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: st.tag}, s.commitImplicit()
}

// commitImplicit commits the open transaction unless it is explicit.
func (s *session) commitImplicit() error {
	if !s.explicit {
		clear(s.portals)
	}
	if s.tx == nil || s.explicit {
		return nil
	}
	tx := s.tx
	s.tx = nil
	return s.node.commit(tx)
}
