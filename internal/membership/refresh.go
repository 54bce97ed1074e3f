package membership

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/relaytree"
)

const (
	// beat is the time between two readings of the platform's list. A leaving
	// upstream must get no new work within 2 s of being listed.
	beat = time.Second
	// pullBeat is the time between two pulls of an instance that gets the list
	// from a peer. A change is told at once; the beat repairs a lost message.
	pullBeat = 2 * time.Second
	// staleAfter is the age from which on such an instance reads the platform
	// itself: its relays may be cut off, or dead and still listed.
	staleAfter = 10 * time.Second
	// jitter spreads the beats of many instances, as a share of the beat.
	jitter = 0.2
	// callBound ends one reading, so that a slow platform delays the next one
	// and never stops them.
	callBound = 3 * time.Second
)

// Run keeps the list up to date until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	told := m.root()
	for ctx.Err() == nil {
		tree := m.tree()
		next := m.step(ctx, tree)
		if root := m.root(); root != told && m.options.Peers != nil {
			told = root
			tree = m.tree()
			m.notify(ctx, tree.Children(treeKey, m.Self().ID), &calls)
		}
		m.pause(ctx, next)
	}
	return ctx.Err()
}

// step brings the list up to date once and returns the time to the next step.
func (m *Members) step(ctx context.Context, tree relaytree.Tree) time.Duration {
	parent, hasParent := tree.Parent(treeKey, m.Self().ID)
	if m.options.Peers == nil || !hasParent {
		m.read(ctx)
		return m.jittered(beat)
	}
	if m.pull(ctx, parent.PeerAddress) != nil {
		_ = m.pullAny(ctx)
	}
	if age, _ := m.age(); age > staleAfter {
		m.read(ctx)
		return m.jittered(staleAfter / 2)
	}
	return m.jittered(pullBeat)
}

// read reads the platform's list and, where that fails, takes a peer's if it is
// newer: a failure domain that has lost the platform alone, and an instance
// that starts in an outage, get the list that way.
func (m *Members) read(ctx context.Context) {
	err := m.Refresh(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	m.log.Debug("List not read.", "error", err)
	if m.options.Peers != nil {
		_ = m.pullAny(ctx)
	}
}

// pause waits for d, for a parent's word of a change, or for the end of ctx.
func (m *Members) pause(ctx context.Context, d time.Duration) {
	t := m.options.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.wake:
	}
}

// Refresh reads the platform's list once. After an error the list in use stays.
func (m *Members) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	asked := m.options.Clock.Now()
	inventory, err := m.options.API.Inventory(ctx)
	if err == nil {
		err = m.accept(newList(inventory.Instances, leavingOf(inventory.Upstreams), asked))
	}
	m.metrics.refreshed(err)
	return err
}

func (m *Members) jittered(d time.Duration) time.Duration {
	factor := 1 - jitter + 2*jitter*m.options.Rand.Float64()
	return time.Duration(float64(d) * factor)
}
