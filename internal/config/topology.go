package config

import (
	"slices"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/relaytree"
)

const (
	// relayPickKey is the key passed to Fleet.PickInstances to select relays.
	relayPickKey = "config.relay"
	// digestPickKey, followed by the instance's ID, is the key passed to
	// Fleet.PickInstances to select the peers that the instance exchanges digests with.
	digestPickKey = "config.digest/"
	// digestPeersPerDomain is how many peers of each failure domain an instance
	// exchanges digests with. The set is fixed and small to limit the number of
	// connections: choosing a random peer among thousands each time would
	// eventually open a connection to each. With such a fixed random graph,
	// repair still takes a number of rounds that grows with the logarithm of
	// the fleet size.
	digestPeersPerDomain = 3
)

// peerTopology derives the peers that this instance communicates with from the
// membership view.
type peerTopology struct {
	fleet           Fleet
	relaysPerDomain int
	// peersKnown is closed when the view contains a peer for the first time.
	peersKnown     chan struct{}
	markPeersKnown func()

	mu              sync.Mutex
	tree            relaytree.Tree
	digestInstances []platform.Instance
}

// refresh recomputes the topology after a change of the view.
func (t *peerTopology) refresh() {
	// The view is read under the lock, so that of two concurrent calls the
	// later one uses the newer view.
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.fleet.Self()
	relays := t.fleet.PickInstances(relayPickKey, t.relaysPerDomain)
	t.tree = relaytree.New(self.FailureDomain, relays, t.fleet.Live())
	t.digestInstances = slices.DeleteFunc(t.fleet.PickInstances(digestPickKey+self.ID, digestPeersPerDomain), sameID(self.ID))
	if len(t.digestInstances) > 0 {
		t.markPeersKnown()
	}
}

func sameID(id string) func(platform.Instance) bool {
	return func(i platform.Instance) bool { return i.ID == id }
}

// isRelay reports whether this instance is a relay, which watches the platform.
func (t *peerTopology) isRelay() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tree.IsRelay(t.fleet.Self().ID)
}

// digestAddresses returns the addresses of the peers to exchange digests with.
func (t *peerTopology) digestAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make([]string, len(t.digestInstances))
	for i, p := range t.digestInstances {
		addresses[i] = p.PeerAddress
	}
	return addresses
}

// childAddresses returns the addresses that this instance pushes a document to.
func (t *peerTopology) childAddresses(name string) []string {
	t.mu.Lock()
	tree := t.tree
	t.mu.Unlock()
	var addresses []string
	for _, i := range tree.Children(name, t.fleet.Self().ID) {
		addresses = append(addresses, i.PeerAddress)
	}
	return addresses
}
