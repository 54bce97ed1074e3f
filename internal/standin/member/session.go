package member

import (
	"context"
	"errors"
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushEvery is how many rows of a large answer go out at once.
const flushEvery = 256

// session serves one client connection.
type session struct {
	node     *Node
	life     *life
	backend  *pgproto3.Backend
	secret   string
	settings map[string]string
	// beforeTransaction is what the settings were before the open transaction
	// changed them; nil when it has not.
	beforeTransaction map[string]string
	prepared          map[string]*prepared
	portals           map[string]*portal
	// tx is the open transaction; explicit says that BEGIN opened it. A failed
	// explicit one has no tx but lasts until the client ends it.
	tx               *transaction
	explicit, failed bool
	// skipping drops messages after an error until Sync.
	skipping bool
	// cancelRunning is guarded by the node's mutex.
	cancelRunning context.CancelFunc
}

func (s *session) reset() {
	s.settings = maps.Clone(defaultSettings)
	for _, p := range startupParameters {
		s.settings[strings.ToLower(p[0])] = p[1]
	}
	s.prepared = map[string]*prepared{}
	s.portals = map[string]*portal{}
}

func (s *session) serve() {
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *pgproto3.Terminate:
			return
		case *pgproto3.Query:
			s.query(m.String)
			err = s.ready()
		case *pgproto3.Sync:
			s.skipping = false
			s.report(s.endImplicit())
			err = s.ready()
		case *pgproto3.Flush:
			err = s.backend.Flush()
		default:
			if !s.skipping {
				s.skipping = s.report(s.extended(message))
			}
		}
		if err != nil {
			return
		}
	}
}

// ready tells the client the transaction's state and sends all that is buffered.
func (s *session) ready() error {
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

// report sends an error and fails the transaction; false if there is none.
func (s *session) report(err error) bool {
	if err == nil {
		return false
	}
	var e *sqlError
	if !errors.As(err, &e) {
		e = &sqlError{stateProtocolViolation, err.Error()}
	}
	s.backend.Send(e.response("ERROR"))
	s.abort()
	s.failed = s.explicit
	return true
}

// abort rolls back what is open; the locks are free at once.
func (s *session) abort() {
	if s.tx != nil {
		s.node.rollback(s.tx)
		s.tx = nil
	}
}

// query runs the statements of a simple query in one implicit transaction.
func (s *session) query(sql string) {
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
		var a *answer
		if a, err = s.run(st, nil); err == nil {
			err = s.sendAll(a)
		}
	}
	if !s.report(err) {
		s.report(s.endImplicit())
	}
}

func (s *session) sendAll(a *answer) error {
	if a.columns != nil {
		s.backend.Send(describe(a.columns, nil))
	}
	p := &portal{answer: a}
	return s.sendRows(p, 0)
}

// run runs one statement in the open transaction, or begins an implicit one.
func (s *session) run(st *statement, args []string) (*answer, error) {
	switch {
	case st.verb == verbCommit || st.verb == verbRollback:
		return s.end(st)
	case s.failed:
		return nil, &sqlError{stateAborted, "current transaction is aborted, commands ignored until end of transaction block"}
	case st.verb == verbBegin:
		s.explicit = true
		return &answer{tag: st.tag}, nil
	}
	if s.tx == nil {
		s.tx = newTransaction(s.life)
	}
	if st.verb != verbControl {
		s.node.at("statement.before")
	}
	ctx, done := s.running()
	defer done()
	return s.execute(ctx, st, args)
}

// end runs COMMIT or ROLLBACK. COMMIT of a failed transaction rolls back.
func (s *session) end(st *statement) (*answer, error) {
	rollback := s.failed || st.verb == verbRollback
	s.explicit, s.failed = false, false
	s.endSettings(rollback)
	if rollback {
		s.abort()
		return &answer{tag: "ROLLBACK"}, nil
	}
	return &answer{tag: st.tag}, s.endImplicit()
}

// endImplicit commits what is open unless the client has to.
func (s *session) endImplicit() error {
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
