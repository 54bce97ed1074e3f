package executor

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
)

// transactions is the table of open transactions of one group.
type transactions struct {
	// owner is the part of the IDs that names the instance and the group.
	owner string
	// ids makes the IDs differ from those of earlier tables of the same owner: a caller may still
	// send the ID of a transaction that was lost with its table.
	ids *execution.IDSequence

	mu   sync.Mutex
	open map[string]*transaction
	// opened receives a signal when a transaction is opened; it buffers one signal.
	opened chan struct{}
}

func newTransactions(owner string) *transactions {
	return &transactions{owner: owner, ids: execution.NewIDSequence(), open: make(map[string]*transaction), opened: make(chan struct{}, 1)}
}

// add assigns tx an ID that no other transaction of any instance has or had, and registers it.
func (t *transactions) add(tx *transaction) {
	tx.id = t.owner + transactionSeparator + t.ids.Next()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[tx.id] = tx
	select {
	case t.opened <- struct{}{}:
	default:
	}
}

func (t *transactions) find(id string) *transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[id]
}

func (t *transactions) remove(id string) *transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	tx := t.open[id]
	delete(t.open, id)
	return tx
}

func (t *transactions) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// all returns the open transactions.
func (t *transactions) all() []*transaction {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.open))
}

// idleSince returns the transactions that have not been used by any unit since cutoff.
func (t *transactions) idleSince(cutoff time.Time) []*transaction {
	var idle []*transaction
	for _, tx := range t.all() {
		if !tx.mu.TryLock() {
			continue
		}
		if tx.lastUsed.Before(cutoff) {
			idle = append(idle, tx)
		}
		tx.mu.Unlock()
	}
	return idle
}
