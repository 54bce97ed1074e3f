package config

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/topazrock/topazrock/internal/platform"
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
	// pushDegree is how many children an instance pushes a version to.
	pushDegree = 4
)

// contacts derives from the fleet's view whom this instance talks to.
type contacts struct {
	fleet      Fleet
	relayCount int
	// changed holds a token after a change of the view.
	changed chan struct{}

	mu     sync.Mutex
	relay  bool
	relays []platform.Instance
	// below holds the other instances of the failure domain.
	below  []platform.Instance
	digest []platform.Instance
}

// refresh follows a change of the view.
func (c *contacts) refresh() {
	self := c.fleet.Self()
	relays := c.fleet.Pick(relayDuty, c.relayCount)
	digest := slices.DeleteFunc(c.fleet.Pick(digestDuty+self.ID, digestPeers), sameID(self.ID))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relays = slices.DeleteFunc(relays, func(i platform.Instance) bool { return i.FailureDomain != self.FailureDomain })
	c.below = c.below[:0:0]
	for _, i := range c.fleet.Live() {
		if i.FailureDomain == self.FailureDomain && !slices.ContainsFunc(c.relays, sameID(i.ID)) {
			c.below = append(c.below, i)
		}
	}
	c.relay = slices.ContainsFunc(c.relays, sameID(self.ID))
	c.digest = digest
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func sameID(id string) func(platform.Instance) bool {
	return func(i platform.Instance) bool { return i.ID == id }
}

// isRelay reports whether this instance watches the platform.
func (c *contacts) isRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.relay
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

// children returns the addresses that this instance pushes a document to. The
// instances of the failure domain form trees whose roots are the relays; each
// other instance has one parent. The order below the relays depends on the
// document, so that the work of inner nodes falls on different instances.
func (c *contacts) children(name string) []string {
	c.mu.Lock()
	relays, below := c.relays, c.below
	c.mu.Unlock()
	if len(below) == 0 {
		return nil
	}
	order := slices.Concat(relays, orderFor(name, below))
	position := slices.IndexFunc(order, sameID(c.fleet.Self().ID))
	if position < 0 {
		return nil
	}
	first := len(relays) + pushDegree*position
	var addresses []string
	for i := first; i < min(first+pushDegree, len(order)); i++ {
		addresses = append(addresses, order[i].PeerAddress)
	}
	return addresses
}

// orderFor returns instances in an order that depends on a document and is the
// same on every instance.
func orderFor(name string, instances []platform.Instance) []platform.Instance {
	type scored struct {
		score    uint64
		instance platform.Instance
	}
	list := make([]scored, len(instances))
	for n, i := range instances {
		list[n] = scored{score: xxhash.Sum64String(name + "\x00" + i.ID), instance: i}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	order := make([]platform.Instance, len(list))
	for n, s := range list {
		order[n] = s.instance
	}
	return order
}
