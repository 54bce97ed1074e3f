package config

import (
	"slices"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/relaytree"
)

const (
	// relayPickKey is the key by which relays are picked.
	relayPickKey = "config.relay"
	// digestPickKey, with the instance's ID, is the key by which the peers that it
	// exchanges digests with are picked.
	digestPickKey = "config.digest/"
	// digestPeersPerDomain is how many peers of each failure domain an instance
	// exchanges digests with. The set is bounded so that connections are: a
	// peer picked at random among thousands would mean a connection to each in
	// the end. Repair over such a fixed random graph still takes a number of
	// rounds that grows with the logarithm of the fleet.
	digestPeersPerDomain = 3
)

// contacts derives from the fleet's view whom this instance talks to.
type peerTopology struct {
	fleet           Fleet
	relaysPerDomain int
	// viewed is closed when the view names a peer for the first time.
	peersKnown     chan struct{}
	markPeersKnown func()

	mu              sync.Mutex
	tree            relaytree.Tree
	digestInstances []platform.Instance
}

// refresh follows a change of the view.
func (c *peerTopology) refresh() {
	// The view is read under the lock, so that of two calls at one moment the
	// later one has the newer view.
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.fleet.Self()
	relays := c.fleet.Pick(relayPickKey, c.relaysPerDomain)
	c.tree = relaytree.New(self.FailureDomain, relays, c.fleet.Live())
	c.digestInstances = slices.DeleteFunc(c.fleet.Pick(digestPickKey+self.ID, digestPeersPerDomain), sameID(self.ID))
	if len(c.digestInstances) > 0 {
		c.markPeersKnown()
	}
}

func sameID(id string) func(platform.Instance) bool {
	return func(i platform.Instance) bool { return i.ID == id }
}

// isRelay reports whether this instance watches the platform.
func (c *peerTopology) isRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tree.IsRelay(c.fleet.Self().ID)
}

// digestAddresses returns the addresses of the peers to exchange digests with.
func (c *peerTopology) digestAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, len(c.digestInstances))
	for i, p := range c.digestInstances {
		addresses[i] = p.PeerAddress
	}
	return addresses
}

// children returns the addresses that this instance pushes a document to.
func (c *peerTopology) childAddresses(name string) []string {
	c.mu.Lock()
	tree := c.tree
	c.mu.Unlock()
	var addresses []string
	for _, i := range tree.Children(name, c.fleet.Self().ID) {
		addresses = append(addresses, i.PeerAddress)
	}
	return addresses
}
