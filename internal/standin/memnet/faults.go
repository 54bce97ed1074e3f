package memnet

import "time"

// SetLatency sets the one-way latency between two hosts, in both directions.
func (n *Network) SetLatency(a, b string, d time.Duration) {
	n.update(func() { n.latency[link{a, b}], n.latency[link{b, a}] = d, d })
}

// Cut cuts the link between two hosts in both directions: bytes on open connections are
// held back and dials hang until Heal.
func (n *Network) Cut(a, b string) {
	n.update(func() { n.cut[link{a, b}], n.cut[link{b, a}] = true, true })
}

// Partition atomically cuts the links between all hosts of one side and all of the other.
func (n *Network) Partition(a, b []string) {
	n.update(func() { forEachLink(a, b, func(l link) { n.cut[l] = true }) })
}

// HealPartition heals a Partition and delivers the bytes it held back.
func (n *Network) HealPartition(a, b []string) {
	n.update(func() { forEachLink(a, b, func(l link) { delete(n.cut, l) }) })
}

func forEachLink(a, b []string, f func(l link)) {
	for _, x := range a {
		for _, y := range b {
			f(link{x, y})
			f(link{y, x})
		}
	}
}

// CutOneWay holds back bytes from one host to another; the opposite direction works.
func (n *Network) CutOneWay(from, to string) {
	n.update(func() { n.cut[link{from, to}] = true })
}

// Heal restores both directions between two hosts and delivers the bytes held back.
func (n *Network) Heal(a, b string) {
	n.update(func() {
		delete(n.cut, link{a, b})
		delete(n.cut, link{b, a})
	})
}

// BlackholeConnections makes the connections that are open now between two hosts drop all bytes
// permanently. New connections work.
func (n *Network) BlackholeConnections(a, b string) {
	n.update(func() {
		for c := range n.conns {
			if l := c.out.link; l == (link{a, b}) || l == (link{b, a}) {
				c.out.blackholed, c.in.blackholed = true, true
			}
		}
	})
}

// Kill simulates the death of the process on a host: its listeners close, its
// connections are reset, dials to it are refused, and existing Host values for it can
// no longer listen or dial.
func (n *Network) Kill(host string) {
	n.update(func() {
		n.incarnations[host]++
		delete(n.frozen, host)
		for _, l := range n.listeners {
			if l.host == host {
				l.closeLocked()
			}
		}
		for c := range n.conns {
			if c.out.link.from == host {
				c.reset()
			}
		}
	})
}

// Freeze holds back all bytes to and from a host, and its own dials, until Thaw. Dials
// to it complete, because the kernel accepts connections for a stopped process.
func (n *Network) Freeze(host string) {
	n.update(func() { n.frozen[host] = true })
}

// Thaw ends Freeze and delivers what it held back.
func (n *Network) Thaw(host string) {
	n.update(func() { delete(n.frozen, host) })
}

// IsConnected reports whether bytes are delivered between two hosts in both directions.
func (n *Network) IsConnected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isBlocked(link{a, b}) && !n.isBlocked(link{b, a})
}

func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.wakeAll()
}
