// Package memnet is an in-memory network for tests under virtual time.
//
// Every process under test gets the view of one host. Latency and faults are
// set on pairs of hosts. Bytes that a fault holds back are delivered in order
// once it is healed, as TCP does by sending again. All waiting is on sync.Cond
// and timers of package time, so that a testing/synctest bubble can idle.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// firstEphemeralPort is where the ports of dialling ends begin.
const firstEphemeralPort = 32768

// link is the directed way from one host to another.
type link struct{ from, to string }

// Network joins hosts. One mutex guards the whole network.
type Network struct {
	mu        sync.Mutex
	changed   *sync.Cond // a fault was set or healed, or a listener came or went
	listeners map[string]*listener
	conns     map[*conn]struct{}
	latency   map[link]time.Duration
	cut       map[link]bool
	frozen    map[string]bool
	lives     map[string]int
	nextPort  int
}

// New returns a network with no latency and no faults.
func New() *Network {
	n := &Network{
		listeners: map[string]*listener{},
		conns:     map[*conn]struct{}{},
		latency:   map[link]time.Duration{},
		cut:       map[link]bool{},
		frozen:    map[string]bool{},
		lives:     map[string]int{},
		nextPort:  firstEphemeralPort,
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Host returns the view of a process that starts now on the host at ip. The
// view is dead once the host is killed; a restarted process takes a new one.
func (n *Network) Host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Host{net: n, ip: ip, life: n.lives[ip]}
}

// held reports whether bytes on the way from one host to another must wait.
func (n *Network) held(l link) bool {
	return n.cut[l] || n.frozen[l.from] || n.frozen[l.to]
}

// wakeAll makes every waiting call look again.
func (n *Network) wakeAll() {
	n.changed.Broadcast()
	for c := range n.conns {
		c.in.cond.Broadcast()
	}
}

// waitUntil waits on cond, at the longest until t if t is not zero.
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

// Host is one process's view of the network; it implements netio.Network.
type Host struct {
	net  *Network
	ip   string
	life int
}

// Listen implements netio.Network. The address must be of this host; port 0
// takes a free one.
func (h *Host) Listen(address string) (net.Listener, error) {
	ip, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if (ip != "" && ip != h.ip) || h.life != n.lives[h.ip] {
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

// Dial implements netio.Dialer. It takes one round trip; it hangs while the
// way there or back is cut, until ctx ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.roundTrip(ctx, h.ip, to); err != nil {
		return nil, err
	}
	if h.life != n.lives[h.ip] {
		return nil, opError("dial", syscall.ENETDOWN)
	}
	l := n.listeners[address]
	if l == nil {
		return nil, opError("dial", syscall.ECONNREFUSED)
	}
	dialled, accepted := n.pair(h.ip, l.address)
	// A frozen process does not accept, but its kernel completes the connection.
	l.backlog = append(l.backlog, accepted)
	n.changed.Broadcast()
	return dialled, nil
}

// Pair returns the two ends of a connection between two hosts, after a round
// trip. It lets another network borrow the latency and the faults of this one.
func (n *Network) Pair(ctx context.Context, from, address string) (dialled, accepted net.Conn, err error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.roundTrip(ctx, from, to); err != nil {
		return nil, nil, err
	}
	dialled, accepted = n.pair(from, address)
	return dialled, accepted, nil
}

// roundTrip waits as long as a connection's set-up takes. Caller holds the mutex.
func (n *Network) roundTrip(ctx context.Context, from, to string) error {
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer stop()
	there, back := link{from, to}, link{to, from}
	arrival := time.Now().Add(n.latency[there] + n.latency[back])
	for {
		switch {
		case ctx.Err() != nil:
			return opError("dial", ctx.Err())
		case n.cut[there] || n.cut[back] || n.frozen[from]:
			n.changed.Wait()
		case time.Now().Before(arrival):
			waitUntil(n.changed, arrival)
		default:
			return nil
		}
	}
}

// pair makes the two ends of a connection. Caller holds the mutex.
func (n *Network) pair(from, address string) (dialled, accepted *conn) {
	n.nextPort++
	dialled = &conn{net: n, local: tcpAddr(net.JoinHostPort(from, fmt.Sprint(n.nextPort))), remote: tcpAddr(address)}
	accepted = &conn{net: n, local: dialled.remote, remote: dialled.local}
	to := dialled.remote.IP.String()
	there, back := newPipe(n, link{from, to}), newPipe(n, link{to, from})
	dialled.in, dialled.out = back, there
	accepted.in, accepted.out = there, back
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
