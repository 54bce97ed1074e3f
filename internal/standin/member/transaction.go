package member

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/member"
)

// lockTimeout limits the wait for a row lock, and thereby resolves deadlocks.
const lockTimeout = 10 * time.Second

// row identifies a row by its table and key.
type row struct{ Table, Key string }

// transaction holds the writes and the row locks of one open transaction.
type transaction struct {
	process    *process
	writes     map[row]write
	writeOrder []row
	locks      []row
	// fenced means that the node has entered a term since the transaction acquired
	// its first lock. The transaction can no longer commit.
	fenced bool
	// done is closed when the transaction ends.
	done chan struct{}
}

func newTransaction(proc *process) *transaction {
	return &transaction{process: proc, writes: map[row]write{}, done: make(chan struct{})}
}

// addWrite buffers a write until commit, in place of an earlier one to the same row.
func (t *transaction) addWrite(w write) {
	if _, ok := t.writes[w.Row]; !ok {
		t.writeOrder = append(t.writeOrder, w.Row)
	}
	t.writes[w.Row] = w
}

// readRowForClient reads a row and counts the read; see Reads.
func (n *Node) readRowForClient(t *transaction, r row) (string, bool) {
	n.mu.Lock()
	if n.role == member.RolePrimary {
		n.readCounts.Primary++
	} else {
		n.readCounts.Replica++
	}
	n.mu.Unlock()
	return n.readRow(t, r)
}

// readRow returns a row as seen by the transaction.
func (n *Node) readRow(t *transaction, r row) (string, bool) {
	if w, ok := t.writes[r]; ok {
		return w.Value, !w.Deleted
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v, ok := n.rows[r]
	return v, ok
}

// countRows returns the number of rows of a table as seen by the transaction.
func (n *Node) countRows(t *transaction, table string) int {
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

// lockRow acquires a row lock. It waits while another open transaction holds it.
func (n *Node) lockRow(ctx context.Context, t *transaction, r row) error {
	timeout := time.NewTimer(lockTimeout)
	defer timeout.Stop()
	for {
		released, err := n.tryLockRow(t, r)
		if released == nil || err != nil {
			return err
		}
		select {
		case <-released:
		case <-ctx.Done():
			return errCancelled
		case <-timeout.C:
			return &sqlError{stateLockTimeout, "canceling statement due to lock timeout"}
		}
	}
}

// tryLockRow acquires a row lock, or returns a channel that is closed when the owner
// releases it.
func (n *Node) tryLockRow(t *transaction, r row) (<-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != member.RolePrimary || t.fenced || t.process.ctx.Err() != nil {
		return nil, errReadOnly
	}
	switch owner := n.locks[r]; owner {
	case t:
		return nil, nil
	case nil:
		n.locks[r] = t
		t.locks = append(t.locks, r)
		n.lockHolders[t] = struct{}{}
		return nil, nil
	default:
		return owner.done, nil
	}
}

// commit appends the transaction's writes to the log as one record.
func (n *Node) commit(t *transaction) error {
	if len(t.writeOrder) == 0 {
		n.rollback(t)
		return nil
	}
	n.callHook("commit.before")
	if err := n.commitRecord(t); err != nil {
		return err
	}
	n.callHook("commit.after_before_answer")
	return nil
}

func (n *Node) commitRecord(t *transaction) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.endTransaction(t)
	// A node that has entered a term or been killed since the statements ran must
	// not commit: another member may have been promoted already.
	if n.role != member.RolePrimary || t.fenced || t.process.ctx.Err() != nil {
		return errReadOnly
	}
	writes := make([]write, 0, len(t.writeOrder))
	for _, r := range t.writeOrder {
		writes = append(writes, t.writes[r])
	}
	n.appendRecord(n.log.newRecord(n.enteredTerm, writes))
	return nil
}

func (n *Node) rollback(t *transaction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endTransaction(t)
}

// endTransaction ends a transaction and releases its locks. n.mu must be held.
func (n *Node) endTransaction(t *transaction) {
	for _, r := range t.locks {
		if n.locks[r] == t {
			delete(n.locks, r)
		}
	}
	t.locks = nil
	delete(n.lockHolders, t)
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}
