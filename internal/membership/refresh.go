package membership

import (
	"context"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/relaytree"
)

const (
	// readInterval is the time between two reads of the platform's list. An upstream must get
	// no new work once it has been listed as leaving for 2 s.
	readInterval = time.Second
	// pullInterval is the time between two pulls by an instance that gets the list from a peer.
	// Changes are notified at once; the interval compensates for lost notifications.
	pullInterval = 2 * time.Second
	// staleAfter is the list age above which such an instance reads the platform itself: its
	// relays may be isolated, or dead and still listed.
	staleAfter = 10 * time.Second
	// jitter varies the intervals by this fraction to spread the calls of many instances.
	jitter = 0.2
	// readTimeout bounds one read, so that a slow platform delays the next read but never
	// blocks reading.
	readTimeout = 3 * time.Second
)

// Run keeps the list up to date until ctx is done.
func (m *Members) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	notifiedChecksum := m.listChecksum()
	for ctx.Err() == nil {
		tree := m.relayTree()
		next := m.refreshOnce(ctx, tree)
		if checksum := m.listChecksum(); checksum != notifiedChecksum && m.options.Peers != nil {
			notifiedChecksum = checksum
			tree = m.relayTree()
			m.notifyChildren(ctx, tree.Children(treeKey, m.Self().ID), &calls)
		}
		m.waitForRefresh(ctx, next)
	}
	return ctx.Err()
}

// refreshOnce updates the list once and returns the time until the next update.
func (m *Members) refreshOnce(ctx context.Context, tree relaytree.Tree) time.Duration {
	parent, hasParent := tree.Parent(treeKey, m.Self().ID)
	if m.options.Peers == nil || !hasParent {
		m.readList(ctx)
		return m.withJitter(readInterval)
	}
	if m.pullFrom(ctx, parent.PeerAddress) != nil {
		_ = m.pullFromAny(ctx)
	}
	if age, _ := m.listAge(); age > staleAfter {
		m.readList(ctx)
		return m.withJitter(staleAfter / 2)
	}
	return m.withJitter(pullInterval)
}

// readList reads the platform's list and, if that fails, pulls a newer list from a peer. A
// failure domain that has lost only the connection to the platform, and an instance that starts
// during an outage, get the list that way.
func (m *Members) readList(ctx context.Context) {
	err := m.Refresh(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	m.log.Debug("Reading the instance list failed.", "error", err)
	if m.options.Peers != nil {
		_ = m.pullFromAny(ctx)
	}
}

// waitForRefresh waits for d, for a change notification from the parent, or until ctx is done.
func (m *Members) waitForRefresh(ctx context.Context, d time.Duration) {
	t := m.options.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.changeNotified:
	}
}

// Refresh reads the platform's list once. On error, the list in use stays.
func (m *Members) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := m.options.Clock.Now()
	inventory, err := m.options.API.Inventory(ctx)
	if err == nil {
		err = m.applyList(newList(inventory.Instances, leavingAddresses(inventory.Upstreams), requestedAt))
	}
	m.metrics.countRefresh(err)
	return err
}

func (m *Members) withJitter(d time.Duration) time.Duration {
	factor := 1 - jitter + 2*jitter*m.options.Rand.Float64()
	return time.Duration(float64(d) * factor)
}
