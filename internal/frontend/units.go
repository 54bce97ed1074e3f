package frontend

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
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
	if n.state.Transaction == "" && sessionSetting(q.String) {
		return n.answerError(result.New(result.NotSupported, "SET outside of a transaction is not kept; use SET LOCAL"), false)
	}
	u := &execution.Unit{Messages: f.bytes}
	return n.execute(u, q.String, nil)
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
	return n.execute(b.unit(), b.sql, b)
}

// execute runs a unit and passes its answer to the caller.
func (n *session) execute(u *execution.Unit, sql string, b *batch) bool {
	if n.state.Lost() {
		return n.answerAborted(u, sql)
	}
	reply, err := n.submit(u, sql, b)
	if err != nil {
		return n.answerError(err, n.state.Transaction != "")
	}
	return n.answer(reply)
}

// submit sends a unit to the executor.
func (n *session) submit(u *execution.Unit, sql string, b *batch) (*execution.Reply, error) {
	t, err := parseTag(sql)
	if err != nil {
		return nil, err
	}
	n.fill(u, t, sql)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.setRunning(u.ID)
	reply, err := n.server.config.Executor.Execute(ctx, u, n.write)
	n.setRunning("")
	if b != nil && (err != nil || reply.Failed) {
		n.forget(b.defined)
	}
	if err != nil && u.Ends {
		// Whatever became of it, the transaction is over; its home may not know.
		n.state.Abandon(n.server.config.Executor)
	}
	return reply, err
}

func (n *session) fill(u *execution.Unit, t tag, sql string) {
	n.units++
	u.ID = n.server.config.Instance + "-" + strconv.FormatUint(uint64(n.processID), 36) + "-" + strconv.FormatUint(n.units, 36)
	n.state.Fill(u)
	u.Class, u.Key = t.class, t.key
	u.Timeout = n.timeout(t.class)
	u.Begins = hintBegins(sql)
	u.Ends = hintEnds(sql)
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
