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
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	there, back := link{h.ip, to}, link{to, h.ip}
	arrival := time.Now().Add(n.latency[there] + n.latency[back])
	for {
		switch {
		case ctx.Err() != nil:
			return nil, opError("dial", ctx.Err())
		case h.life != n.lives[h.ip]:
			return nil, opError("dial", syscall.ENETDOWN)
		case n.cut[there] || n.cut[back] || n.frozen[h.ip]:
			n.changed.Wait()
		case time.Now().Before(arrival):
			waitUntil(n.changed, arrival)
		case n.listeners[address] == nil:
			return nil, opError("dial", syscall.ECONNREFUSED)
		default:
			return n.connect(h.ip, n.listeners[address]), nil
		}
	}
}

// connect makes a connection to a listener and returns the dialling end. A
// frozen process does not accept, but its kernel completes the connection.
func (n *Network) connect(from string, l *listener) net.Conn {
	n.nextPort++
	dialled := &conn{net: n, local: tcpAddr(net.JoinHostPort(from, fmt.Sprint(n.nextPort))), remote: tcpAddr(l.address)}
	accepted := &conn{net: n, local: dialled.remote, remote: dialled.local}
	there, back := newPipe(n, link{from, l.host}), newPipe(n, link{l.host, from})
	dialled.in, dialled.out = back, there
	accepted.in, accepted.out = there, back
	n.conns[dialled] = struct{}{}
	n.conns[accepted] = struct{}{}
	l.backlog = append(l.backlog, accepted)
	n.changed.Broadcast()
	return dialled
}

func tcpAddr(address string) *net.TCPAddr {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return a
}

func opError(op string, err error) error { return &net.OpError{Op: op, Net: "memnet", Err: err} }
