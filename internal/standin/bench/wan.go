package bench

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/standin/memnet"
)

// wan emulates a wide-area network on loopback TCP, with latencies and partitions.
// The dialling side of each connection passes through a connection pair of an
// in-memory network.
type wan struct {
	links *memnet.Network
	// peers holds the hosts of instances, and peerBytes counts the bytes sent between
	// them.
	peers     map[string]bool
	peerBytes atomic.Int64
}

// networkOf returns the network as seen from the host with the given IP address.
func (w *wan) networkOf(ip string) netio.Network { return &wanHost{w, ip} }

// setLatencies sets the latency between each host of a and each other host of b. The
// two may overlap.
func (w *wan) setLatencies(a, b []string, d time.Duration) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				w.links.SetLatency(x, y, d)
			}
		}
	}
}

// wanHost implements netio.Network.
type wanHost struct {
	wan *wan
	ip  string
}

// Listen implements netio.Network.
func (h *wanHost) Listen(address string) (net.Listener, error) {
	return netio.TCP{}.Listen(address)
}

// Dial implements netio.Dialer.
func (h *wanHost) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialled, accepted, err := h.wan.links.Connect(ctx, h.ip, address)
	if err != nil {
		return nil, err
	}
	tcp, err := netio.TCP{}.Dial(ctx, address)
	if err != nil {
		_ = dialled.Close()
		_ = accepted.Close()
		return nil, err
	}
	var bytes atomic.Int64
	counter := &bytes
	if h.wan.peers[h.ip] && h.wan.peers[host(address)] {
		counter = &h.wan.peerBytes
	}
	go copyAndClose(countedConn{tcp, counter}, accepted)
	go copyAndClose(countedConn{accepted, counter}, tcp)
	return dialled, nil
}

// countedConn adds the bytes written to a counter.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// copyAndClose copies one direction of a connection, then closes both ends, which
// also ends the other direction.
func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}
