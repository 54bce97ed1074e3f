// Package netio abstracts the network, so that the same code runs over TCP in
// production and over in-memory pipes in tests with virtual time.
package netio

import (
	"context"
	"net"
)

// Dialer opens connections to an IP address and port.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Network opens and accepts connections.
type Network interface {
	Dialer
	Listen(address string) (net.Listener, error)
}
