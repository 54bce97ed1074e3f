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
	// relayDuty is the key by which the instances that read the platform's list
	// are picked.
	relayDuty = "membership.relay"
	// treeKey is the key of the tree by which the others get it from them.
	treeKey = "membership"
	// pullTimeout bounds one call to a peer.
	pullTimeout = time.Second
)

// pull brings the list up to that of a peer if the peer's is newer.
func (m *Members) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	m.mu.Lock()
	held := m.held
	m.mu.Unlock()
	r, asked, err := m.ask(ctx, address, pullParams{Root: held.root})
	if err == nil && !r.Same {
		r, asked, err = m.ask(ctx, address, pullParams{Root: held.root, Sums: held.sums[:]})
	}
	if err != nil {
		return err
	}
	readAt := asked.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	if r.Same {
		m.renew(held.root, readAt)
		return nil
	}
	return m.accept(held.merge(r, readAt))
}

// ask calls a peer and returns its answer and when it was asked: an age is
// counted from then, so that it is never taken for younger than it is.
func (m *Members) ask(ctx context.Context, address string, p pullParams) (pullReply, time.Time, error) {
	asked := m.options.Clock.Now()
	var r pullReply
	if err := m.options.Peers.Call(ctx, address, methodPull, p, &r); err != nil {
		return r, asked, err
	}
	if r.None || r.AgeMS < 0 {
		return r, asked, errNoList
	}
	return r, asked, nil
}

// renew notes that a peer with the same list has it from a later reading.
func (m *Members) renew(root uint64, readAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held.root == root && readAt.After(m.held.readAt) {
		m.held.readAt = readAt
		m.metrics.dated(readAt)
	}
}

// pullAny pulls from one instance picked at random among the relays of all
// failure domains, or among the seeds while no other instance is known.
func (m *Members) pullAny(ctx context.Context) error {
	self := m.Self()
	var addresses []string
	for _, i := range m.Pick(relayDuty, m.options.Relays) {
		addresses = append(addresses, i.PeerAddress)
	}
	others := func(list []string) []string {
		return slices.DeleteFunc(slices.Clone(list), func(a string) bool { return a == self.PeerAddress })
	}
	addresses = others(addresses)
	if len(addresses) == 0 {
		addresses = others(m.options.Seeds)
	}
	if len(addresses) == 0 {
		return errNoPeers
	}
	return m.pull(ctx, addresses[m.options.Rand.IntN(len(addresses))])
}

// tree returns the tree of this instance's failure domain.
func (m *Members) tree() relaytree.Tree {
	s := m.current.Load()
	return relaytree.New(s.self.FailureDomain, m.Pick(relayDuty, m.options.Relays), s.live)
}

// notify tells the children that the list has changed, without waiting.
func (m *Members) notify(ctx context.Context, children []platform.Instance, calls *sync.WaitGroup) {
	for _, child := range children {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pullTimeout)
			defer cancel()
			_ = m.options.Peers.Call(ctx, child.PeerAddress, methodChanged, changedParams{}, &changedParams{})
		})
	}
}
