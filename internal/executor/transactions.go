package executor

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"
)

// transactions is the table of open transactions of one group.
type transactions struct {
	mu         sync.Mutex
	prefix     string
	lastNumber uint64
	open       map[string]*transaction
	// opened receives a signal when a transaction is opened; it buffers one signal.
	opened chan struct{}
}

func newTransactions(prefix string) *transactions {
	return &transactions{prefix: prefix, open: make(map[string]*transaction), opened: make(chan struct{}, 1)}
}

// add assigns tx an ID that is unique across all instances and registers it.
func (t *transactions) add(tx *transaction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	tx.id = t.prefix + transactionSeparator + strconv.FormatUint(t.lastNumber, 36)
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
