package member

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/member"
)

// lockTimeout bounds a wait for a row lock. It resolves deadlocks.
const lockTimeout = 10 * time.Second

// row names a row of a table.
type row struct{ Table, Key string }

// transaction holds the writes and the row locks of one open transaction.
type transaction struct {
	life   *life
	writes map[row]write
	order  []row
	locks  []row
	// fenced says that the node entered a term since: nothing can commit.
	fenced bool
	// done is closed when the transaction has ended.
	done chan struct{}
}

func newTransaction(l *life) *transaction {
	return &transaction{life: l, writes: map[row]write{}, done: make(chan struct{})}
}

// put notes a write that applies at commit.
func (t *transaction) put(w write) {
	if _, ok := t.writes[w.Row]; !ok {
		t.order = append(t.order, w.Row)
	}
	t.writes[w.Row] = w
}

// lookUp reads a row for a client.
func (n *Node) lookUp(t *transaction, r row) (string, bool) {
	n.mu.Lock()
	if n.role == member.RolePrimary {
		n.reads.Primary++
	} else {
		n.reads.Replica++
	}
	n.mu.Unlock()
	return n.get(t, r)
}

// get reads a row as the transaction sees it.
func (n *Node) get(t *transaction, r row) (string, bool) {
	if w, ok := t.writes[r]; ok {
		return w.Value, !w.Deleted
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v, ok := n.rows[r]
	return v, ok
}

// count counts a table's rows as the transaction sees them.
func (n *Node) count(t *transaction, table string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for r := range n.rows {
		if w, ok := t.writes[r]; r.Table == table && !(ok && w.Deleted) {
			total++
		}
	}
	for r, w := range t.writes {
		if _, ok := n.rows[r]; r.Table == table && !ok && !w.Deleted {
			total++
		}
	}
	return total
}

// lock takes a row lock, and waits while another open transaction holds it.
func (n *Node) lock(ctx context.Context, t *transaction, r row) error {
	timeout := time.NewTimer(lockTimeout)
	defer timeout.Stop()
	for {
		wait, err := n.tryLock(t, r)
		if wait == nil || err != nil {
			return err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return errCancelled
		case <-timeout.C:
			return &sqlError{stateLockTimeout, "canceling statement due to lock timeout"}
		}
	}
}

// tryLock takes a row lock or returns the channel that tells of its release.
func (n *Node) tryLock(t *transaction, r row) (<-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != member.RolePrimary || t.fenced || t.life.ctx.Err() != nil {
		return nil, errReadOnly
	}
	switch owner := n.locks[r]; owner {
	case t:
		return nil, nil
	case nil:
		n.locks[r] = t
		t.locks = append(t.locks, r)
		n.writers[t] = struct{}{}
		return nil, nil
	default:
		return owner.done, nil
	}
}

// commit makes a transaction's writes one record of the log.
func (n *Node) commit(t *transaction) error {
	if len(t.order) == 0 {
		n.rollback(t)
		return nil
	}
	n.at("commit.before")
	if err := n.commitRecord(t); err != nil {
		return err
	}
	n.at("commit.after_before_answer")
	return nil
}

func (n *Node) commitRecord(t *transaction) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.release(t)
	// A node that entered a term, or died, since the statements ran must not
	// commit: the promotion of another member may be complete already.
	if n.role != member.RolePrimary || t.fenced || t.life.ctx.Err() != nil {
		return errReadOnly
	}
	writes := make([]write, 0, len(t.order))
	for _, r := range t.order {
		writes = append(writes, t.writes[r])
	}
	n.add(n.log.next(n.entered, writes))
	return nil
}

func (n *Node) rollback(t *transaction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.release(t)
}

// release ends a transaction and gives back its locks. Caller holds the mutex.
func (n *Node) release(t *transaction) {
	for _, r := range t.locks {
		if n.locks[r] == t {
			delete(n.locks, r)
		}
	}
	t.locks = nil
	delete(n.writers, t)
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}
