package frontend

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
)

// handleQuery runs one simple query.
func (s *session) handleQuery(f frame) bool {
	var q pgproto3.Query
	if err := q.Decode(f.body()); err != nil {
		s.reportProtocolError(err)
		return false
	}
	if text, ok := parseTokenSetting(q.String); ok {
		return s.setToken(text)
	}
	changes, isSettings, err := parseSettings(q.String)
	if err != nil {
		return s.sendError(err, s.state.Transaction != "")
	}
	return s.execute(&request{unit: &execution.Unit{Messages: f.bytes}, sql: q.String, settings: changes, otherEffects: !isSettings})
}

// handleSync runs a batch.
func (s *session) handleSync(b *batch) bool {
	switch {
	case b.errorReported:
		return s.sendReady()
	case b.failure != nil:
		return s.sendError(b.failure, s.state.Transaction != "")
	case b.isLocal():
		return s.replyLocally(b)
	}
	return s.execute(b.toRequest())
}

// execute runs a request's unit and sends the caller its reply.
func (s *session) execute(r *request) bool {
	if s.state.TransactionLost() {
		return s.replyInLostTransaction(r.unit, r.sql)
	}
	reply, err := s.submit(r)
	if err != nil {
		return s.sendError(err, s.state.Transaction != "")
	}
	return s.sendReply(r, reply)
}

// submit passes a request's unit to the executor.
func (s *session) submit(r *request) (*execution.Reply, error) {
	t, err := parseTag(r.sql)
	if err != nil {
		return nil, err
	}
	u := r.unit
	s.fillUnit(u, t, r.sql)
	if err := s.setNextValues(r); err != nil {
		return nil, err
	}
	if s.state.Transaction == "" {
		u.SinceFirstAttempt = s.state.Repeats.BeginOperation(u.Messages, s.server.config.Clock.Now(), u.Timeout)
	}
	ctx, cancel := context.WithCancel(s.server.UnitContext())
	defer cancel()
	ctx, watch := s.server.config.Departures.Begin(ctx, s.conn, s.callerLeft)
	s.setRunningUnit(u.ID)
	reply, err := s.server.config.Executor.Execute(ctx, u, s.write)
	s.setRunningUnit("")
	s.callerLeft = watch.End()
	if r.batch != nil && (err != nil || reply.Failed) {
		s.deleteStatements(r.batch.definedNames)
	}
	if err != nil {
		s.state.Repeats.RecordRefusal(s.server.config.Clock.Now())
	}
	if err != nil && u.EndsTransaction {
		// The transaction has ended, whatever its outcome. It is abandoned explicitly,
		// because its home instance may not have received this unit.
		s.state.AbandonTransaction(s.server.config.Executor)
		s.pendingSettings = nil
	}
	return reply, err
}

func (s *session) fillUnit(u *execution.Unit, t tag, sql string) {
	u.ID = s.server.unitIDs.Next()
	s.state.FillUnit(u)
	u.Class, u.Key = t.class, t.key
	s.setWorkspace(u)
	u.Timeout = s.timeout(t.class)
	u.BeginsTransaction = hintBeginsTransaction(sql)
	u.EndsTransaction = hintEndsTransaction(sql)
}

// setWorkspace sets the workspace that the unit runs for according to the current document, so
// that after a user is moved to another workspace, the next operation belongs to the new one.
func (s *session) setWorkspace(u *execution.Unit) {
	service, ok := s.server.config.Directory.FindService(s.state.Group)
	if !ok {
		return
	}
	user, _ := service.FindUser(s.user)
	w, ok := service.FindWorkspace(user.Workspace)
	if !ok {
		return
	}
	u.Workspace = service.WorkspaceFullName(w)
	if w.OwnConnections {
		u.ConnectionOwner = u.Workspace
	}
}

// setNextValues sets the values that the session will have after the unit succeeds, so
// that the connection that ran the unit can be reused. Changes within a transaction may
// be rolled back, so the connection of such a transaction is not reused.
func (s *session) setNextValues(r *request) error {
	if len(r.settings) == 0 {
		return nil
	}
	next, err := valuesAfter(s.state, append(slices.Clone(s.pendingSettings), r.settings...))
	if err != nil {
		return err
	}
	r.unit.OnlySetsValues = s.state.Transaction == "" && !r.otherEffects
	if r.unit.OnlySetsValues {
		r.unit.NextValues = next
	}
	return nil
}

// timeout returns the timeout of a class in the service document. The entry instance
// applies it in addition to the home instance, which may stop responding.
func (s *session) timeout(class string) time.Duration {
	service, ok := s.server.config.Directory.FindService(s.state.Group)
	if !ok {
		return defaultTimeout
	}
	return service.RequestTimeout(class)
}

// defaultTimeout limits a unit of a group that is no longer in any document.
const defaultTimeout = 5 * time.Second

// deleteStatements deletes prepared statements whose definition the member rejected.
func (s *session) deleteStatements(names []string) {
	for _, name := range names {
		delete(s.statements, name)
	}
}
