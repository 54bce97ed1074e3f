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

// wan is loopback TCP with the latency and the cuts of places far apart. Each
// connection runs through a pair of the in-memory network on its dialling side.
type wan struct {
	faults *memnet.Network
	// peers holds the hosts of instances, peerBytes what went between them.
	peers     map[string]bool
	peerBytes atomic.Int64
}

// host returns the view of the process at an IP address.
func (w *wan) host(ip string) netio.Network { return &wanHost{w, ip} }

// place sets the latency between the hosts of two places, which may be one.
func (w *wan) place(a, b []string, d time.Duration) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				w.faults.SetLatency(x, y, d)
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
	near, far, err := h.wan.faults.Pair(ctx, h.ip, address)
	if err != nil {
		return nil, err
	}
	tcp, err := netio.TCP{}.Dial(ctx, address)
	if err != nil {
		_ = near.Close()
		_ = far.Close()
		return nil, err
	}
	var bytes atomic.Int64
	counter := &bytes
	if h.wan.peers[h.ip] && h.wan.peers[host(address)] {
		counter = &h.wan.peerBytes
	}
	go relay(counted{tcp, counter}, far)
	go relay(counted{far, counter}, tcp)
	return near, nil
}

// counted adds what is written to a counter.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// relay copies one direction. The end of either one ends the connection.
func relay(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}
