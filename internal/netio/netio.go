// Package netio is the seam between the product and the network, so that the
// same code runs over TCP in production and over pipes under virtual time.
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
