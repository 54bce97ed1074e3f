package bench

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/standin/memnet"
)

// wan is loopback TCP with the latency and the cuts of places far apart. Each
// connection runs through a pair of the in-memory network on its dialling side.
type wan struct{ faults *memnet.Network }

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
	go relay(tcp, far)
	go relay(far, tcp)
	return near, nil
}

// relay copies one direction. The end of either one ends the connection.
func relay(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}
