package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/relaytree"
)

const (
	// relayKey is the key for picking the instances that read the platform's list.
	relayKey = "membership.relay"
	// treeKey is the key of the tree through which the other instances get the list from the
	// relays.
	treeKey = "membership"
	// pullTimeout bounds one call to a peer.
	pullTimeout = time.Second
)

// pullFrom updates the list from the peer at an address if the peer's list is newer.
func (m *Members) pullFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	m.mu.Lock()
	current := m.list
	m.mu.Unlock()
	r, requestedAt, err := m.requestList(ctx, address, pullParams{Checksum: current.checksum})
	if err == nil && !r.Same {
		r, requestedAt, err = m.requestList(ctx, address, pullParams{Checksum: current.checksum, PartChecksums: current.partChecksums[:]})
	}
	if err != nil {
		return err
	}
	readAt := requestedAt.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	if r.Same {
		m.renewList(current.checksum, readAt)
		return nil
	}
	return m.applyList(current.mergeReply(r, readAt))
}

// requestList calls a peer and returns its reply and the time of the request. The age in the
// reply must be subtracted from the time of the request: with the time of the reply, the list
// would appear newer than it is.
func (m *Members) requestList(ctx context.Context, address string, p pullParams) (pullReply, time.Time, error) {
	requestedAt := m.options.Clock.Now()
	var r pullReply
	if err := m.options.Peers.Call(ctx, address, methodPull, p, &r); err != nil {
		return r, requestedAt, err
	}
	if r.NoList || r.AgeMS < 0 {
		return r, requestedAt, errNoList
	}
	return r, requestedAt, nil
}

// renewList advances the time of the list in use after a peer reported the same list from a
// later read.
func (m *Members) renewList(checksum uint64, readAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list.checksum == checksum && readAt.After(m.list.readAt) {
		m.list.readAt = readAt
		m.metrics.setListTime(readAt)
	}
}

// pullFromAny pulls from one instance selected at random from the relays of all failure
// domains, or from the seeds while no other instance is known.
func (m *Members) pullFromAny(ctx context.Context) error {
	self := m.Self()
	var addresses []string
	for _, i := range m.PickInstances(relayKey, m.options.Relays) {
		addresses = append(addresses, i.PeerAddress)
	}
	excludeSelf := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(a string) bool { return a == self.PeerAddress })
	}
	addresses = excludeSelf(addresses)
	if len(addresses) == 0 {
		addresses = excludeSelf(m.options.Seeds)
	}
	if len(addresses) == 0 {
		return errNoPeers
	}
	return m.pullFrom(ctx, addresses[m.options.Rand.IntN(len(addresses))])
}

// relayTree returns the tree of this instance's failure domain.
func (m *Members) relayTree() relaytree.Tree {
	s := m.current.Load()
	return relaytree.New(s.self.FailureDomain, m.PickInstances(relayKey, m.options.Relays), s.live)
}

// notifyChildren notifies the children that the list has changed, without waiting for their
// replies.
func (m *Members) notifyChildren(ctx context.Context, children []platform.Instance, calls *sync.WaitGroup) {
	for _, child := range children {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pullTimeout)
			defer cancel()
			_ = m.options.Peers.Call(ctx, child.PeerAddress, methodChanged, changedParams{}, &changedParams{})
		})
	}
}
