package config

import (
	"slices"
	"sync"

	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/relaytree"
)

const (
	// relayDuty is the key by which relays are picked.
	relayDuty = "config.relay"
	// digestDuty, with the instance's ID, is the key by which the peers that it
	// exchanges digests with are picked.
	digestDuty = "config.digest/"
	// digestPeers is how many peers of each failure domain an instance
	// exchanges digests with. The set is bounded so that connections are: a
	// peer picked at random among thousands would mean a connection to each in
	// the end. Repair over such a fixed random graph still takes a number of
	// rounds that grows with the logarithm of the fleet.
	digestPeers = 3
)

// contacts derives from the fleet's view whom this instance talks to.
type contacts struct {
	fleet      Fleet
	relayCount int
	// viewed is closed when the view names a peer for the first time.
	viewed      chan struct{}
	closeViewed func()

	mu     sync.Mutex
	tree   relaytree.Tree
	digest []platform.Instance
}

// refresh follows a change of the view.
func (c *contacts) refresh() {
	// The view is read under the lock, so that of two calls at one moment the
	// later one has the newer view.
	c.mu.Lock()
	defer c.mu.Unlock()
	self := c.fleet.Self()
	relays := c.fleet.Pick(relayDuty, c.relayCount)
	c.tree = relaytree.New(self.FailureDomain, relays, c.fleet.Live())
	c.digest = slices.DeleteFunc(c.fleet.Pick(digestDuty+self.ID, digestPeers), sameID(self.ID))
	if len(c.digest) > 0 {
		c.closeViewed()
	}
}

func sameID(id string) func(platform.Instance) bool {
	return func(i platform.Instance) bool { return i.ID == id }
}

// isRelay reports whether this instance watches the platform.
func (c *contacts) isRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tree.IsRelay(c.fleet.Self().ID)
}

// digestTargets returns the addresses of the peers to exchange digests with.
func (c *contacts) digestTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([]string, len(c.digest))
	for i, p := range c.digest {
		addresses[i] = p.PeerAddress
	}
	return addresses
}

// children returns the addresses that this instance pushes a document to.
func (c *contacts) children(name string) []string {
	c.mu.Lock()
	tree := c.tree
	c.mu.Unlock()
	var addresses []string
	for _, i := range tree.Children(name, c.fleet.Self().ID) {
		addresses = append(addresses, i.PeerAddress)
	}
	return addresses
}
