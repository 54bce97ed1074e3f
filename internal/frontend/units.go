package frontend

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
)

// query runs one simple query.
func (n *session) query(f frame) bool {
	var q pgproto3.Query
	if err := q.Decode(f.body()); err != nil {
		n.broken(err)
		return false
	}
	if text, ok := tokenSetting(q.String); ok {
		return n.setToken(text)
	}
	changes, settings, err := parseSettings(q.String)
	if err != nil {
		return n.answerError(err, n.state.Transaction != "")
	}
	return n.execute(&request{unit: &execution.Unit{Messages: f.bytes}, sql: q.String, settings: changes, others: !settings})
}

// sync runs a batch.
func (n *session) sync(b *batch) bool {
	switch {
	case b.reported:
		return n.ready()
	case b.failure != nil:
		return n.answerError(b.failure, n.state.Transaction != "")
	case b.local():
		return n.answerLocally(b)
	}
	return n.execute(b.request())
}

// execute runs a unit and passes its answer to the caller.
func (n *session) execute(r *request) bool {
	if n.state.Lost() {
		return n.answerAborted(r.unit, r.sql)
	}
	reply, err := n.submit(r)
	if err != nil {
		return n.answerError(err, n.state.Transaction != "")
	}
	return n.answer(r, reply)
}

// submit sends a unit to the executor.
func (n *session) submit(r *request) (*execution.Reply, error) {
	t, err := parseTag(r.sql)
	if err != nil {
		return nil, err
	}
	u := r.unit
	n.fill(u, t, r.sql)
	if err := n.announceValues(r); err != nil {
		return nil, err
	}
	if n.state.Transaction == "" {
		u.Waited = n.state.Repeats.Begin(u.Messages, n.server.config.Clock.Now(), u.Timeout)
	}
	ctx, cancel := context.WithCancel(n.server.Units())
	defer cancel()
	n.setRunning(u.ID)
	reply, err := n.server.config.Executor.Execute(ctx, u, n.write)
	n.setRunning("")
	if r.batch != nil && (err != nil || reply.Failed) {
		n.forget(r.batch.defined)
	}
	if err != nil {
		n.state.Repeats.Refused(n.server.config.Clock.Now())
	}
	if err != nil && u.Ends {
		// Whatever became of it, the transaction is over; its home may not know.
		n.state.Abandon(n.server.config.Executor)
		n.staged = nil
	}
	return reply, err
}

func (n *session) fill(u *execution.Unit, t tag, sql string) {
	n.units++
	u.ID = n.server.config.Instance + "-" + strconv.FormatUint(uint64(n.processID), 36) + "-" + strconv.FormatUint(n.units, 36)
	n.state.Fill(u)
	u.Class, u.Key = t.class, t.key
	n.fillWorkspace(u)
	u.Timeout = n.timeout(t.class)
	u.Begins = hintBegins(sql)
	u.Ends = hintEnds(sql)
}

// fillWorkspace names the workspace that the unit is run for by the document in force, so that
// an account that moves is the other workspace's from its next operation on.
func (n *session) fillWorkspace(u *execution.Unit) {
	service, ok := n.server.config.Directory.FindService(n.state.Group)
	if !ok {
		return
	}
	user, _ := service.FindUser(n.user)
	w, ok := service.FindWorkspace(user.Workspace)
	if !ok {
		return
	}
	u.Workspace = service.FullName(w)
	if w.OwnConnections {
		u.Owner = u.Workspace
	}
}

// announceValues tells the members' side which values the session will have when
// the unit goes well, so that the connection that ran it may be kept. What a
// transaction sets may be rolled back; its connection is not used again.
func (n *session) announceValues(r *request) error {
	if len(r.settings) == 0 {
		return nil
	}
	next, err := valuesAfter(n.state, append(slices.Clone(n.staged), r.settings...))
	if err != nil {
		return err
	}
	r.unit.Sets = n.state.Transaction == "" && !r.others
	if r.unit.Sets {
		r.unit.NextValues = next
	}
	return nil
}

// timeout returns the time that the service document gives a class. The entry
// instance needs it too: a home that falls silent never answers in time.
func (n *session) timeout(class string) time.Duration {
	service, ok := n.server.config.Directory.FindService(n.state.Group)
	if !ok {
		return defaultTimeout
	}
	return service.TimeoutOf(class)
}

// defaultTimeout bounds a unit whose group no document names any more.
const defaultTimeout = 5 * time.Second

// forget drops statements whose definition the member refused.
func (n *session) forget(names []string) {
	for _, name := range names {
		delete(n.statements, name)
	}
}
