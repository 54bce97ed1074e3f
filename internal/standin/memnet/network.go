// Package memnet is an in-memory network for tests under virtual time.
//
// Each process under test uses the network through a Host. Latency and faults are set
// per pair of hosts. Bytes that a fault holds back are delivered in order once it is
// healed, like TCP retransmission. All waiting uses sync.Cond and timers of package
// time, so that goroutines in a testing/synctest bubble block durably.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// firstEphemeralPort is the start of the port range that is used for the local ports of
// dialled connections and for listeners on port 0.
const firstEphemeralPort = 32768

// link is the direction from one host to another.
type link struct{ from, to string }

// Network connects hosts. One mutex guards the whole network, including its pipes.
type Network struct {
	mu           sync.Mutex
	changed      *sync.Cond // signaled when a fault or a listener changes, or a connection is queued
	listeners    map[string]*listener
	conns        map[*conn]struct{}
	latency      map[link]time.Duration
	cut          map[link]bool
	frozen       map[string]bool
	incarnations map[string]int
	nextPort     int
}

// New returns a network with no latency and no faults.
func New() *Network {
	n := &Network{
		listeners:    map[string]*listener{},
		conns:        map[*conn]struct{}{},
		latency:      map[link]time.Duration{},
		cut:          map[link]bool{},
		frozen:       map[string]bool{},
		incarnations: map[string]int{},
		nextPort:     firstEphemeralPort,
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Host returns the network access of a process that starts now on the host at ip. It
// stops working once the host is killed; a restarted process needs a new one.
func (n *Network) Host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Host{net: n, ip: ip, incarnation: n.incarnations[ip]}
}

// isBlocked reports whether a fault holds back bytes on a link.
func (n *Network) isBlocked(l link) bool {
	return n.cut[l] || n.frozen[l.from] || n.frozen[l.to]
}

// wakeAll makes every waiting call check its condition again.
func (n *Network) wakeAll() {
	n.changed.Broadcast()
	for c := range n.conns {
		c.in.cond.Broadcast()
	}
}

// waitUntil waits on cond, until t at the latest if t is not zero.
func waitUntil(cond *sync.Cond, t time.Time) {
	if t.IsZero() {
		cond.Wait()
		return
	}
	timer := time.AfterFunc(time.Until(t), func() {
		cond.L.Lock()
		defer cond.L.Unlock()
		cond.Broadcast()
	})
	cond.Wait()
	timer.Stop()
}

// Host is one process's access to the network; it implements netio.Network.
type Host struct {
	net         *Network
	ip          string
	incarnation int
}

// Listen implements netio.Network. The address must belong to this host; port 0
// selects a free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	ip, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if (ip != "" && ip != h.ip) || h.incarnation != n.incarnations[h.ip] {
		return nil, opError("listen", syscall.EADDRNOTAVAIL)
	}
	if port == "0" {
		n.nextPort++
		port = fmt.Sprint(n.nextPort)
	}
	address = net.JoinHostPort(h.ip, port)
	if n.listeners[address] != nil {
		return nil, opError("listen", syscall.EADDRINUSE)
	}
	l := &listener{net: n, address: address, host: h.ip}
	n.listeners[address] = l
	n.wakeAll()
	return l, nil
}

// Dial implements netio.Dialer. It takes one round trip, and hangs while either
// direction is cut, until ctx ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.waitRoundTrip(ctx, h.ip, to); err != nil {
		return nil, err
	}
	if h.incarnation != n.incarnations[h.ip] {
		return nil, opError("dial", syscall.ENETDOWN)
	}
	l := n.listeners[address]
	if l == nil {
		return nil, opError("dial", syscall.ECONNREFUSED)
	}
	dialled, accepted := n.newConnPair(h.ip, l.address)
	// A frozen process does not accept, but its kernel completes the handshake.
	l.backlog = append(l.backlog, accepted)
	n.changed.Broadcast()
	return dialled, nil
}

// Connect returns both ends of a new connection between two hosts after one round trip.
// It needs no listener. Other networks use it to apply this network's latency and faults.
func (n *Network) Connect(ctx context.Context, from, address string) (dialled, accepted net.Conn, err error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.waitRoundTrip(ctx, from, to); err != nil {
		return nil, nil, err
	}
	dialled, accepted = n.newConnPair(from, address)
	return dialled, accepted, nil
}

// waitRoundTrip waits for the time that connection setup takes. n.mu must be held.
func (n *Network) waitRoundTrip(ctx context.Context, from, to string) error {
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer stop()
	forward, reverse := link{from, to}, link{to, from}
	arrival := time.Now().Add(n.latency[forward] + n.latency[reverse])
	for {
		switch {
		case ctx.Err() != nil:
			return opError("dial", ctx.Err())
		case n.cut[forward] || n.cut[reverse] || n.frozen[from]:
			n.changed.Wait()
		case time.Now().Before(arrival):
			waitUntil(n.changed, arrival)
		default:
			return nil
		}
	}
}

// newConnPair creates both ends of a connection. n.mu must be held.
func (n *Network) newConnPair(from, address string) (dialled, accepted *conn) {
	n.nextPort++
	dialled = &conn{net: n, local: tcpAddr(net.JoinHostPort(from, fmt.Sprint(n.nextPort))), remote: tcpAddr(address)}
	accepted = &conn{net: n, local: dialled.remote, remote: dialled.local}
	to := dialled.remote.IP.String()
	forward, reverse := newPipe(n, link{from, to}), newPipe(n, link{to, from})
	dialled.in, dialled.out = reverse, forward
	accepted.in, accepted.out = forward, reverse
	n.conns[dialled] = struct{}{}
	n.conns[accepted] = struct{}{}
	return dialled, accepted
}

func tcpAddr(address string) *net.TCPAddr {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return a
}

func opError(op string, err error) error { return &net.OpError{Op: op, Net: "memnet", Err: err} }
