package netio

import (
	"context"
	"net"
	"time"
)

// keepAlive is how long a TCP connection may be idle before the kernel probes
// it. Something between two ends may lose track of an idle connection; without
// probes such a connection stays open and silent for ever.
const keepAlive = 5 * time.Second

// TCP is the Network of the running process.
type TCP struct{}

// Dial implements Dialer.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
