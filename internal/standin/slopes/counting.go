package slopes

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/topazrock/topazrock/internal/netio"
)

// countingNetwork counts the bytes read and written, and the writes, on all connections
// that it dials.
type countingNetwork struct {
	netio.TCP
	bytes  atomic.Int64
	writes atomic.Int64
}

// Dial implements netio.Dialer.
func (n *countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, network: n}, nil
}

// countingConn adds its reads and writes to the counters of its network.
type countingConn struct {
	net.Conn
	network *countingNetwork
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.bytes.Add(int64(n))
	c.network.writes.Add(1)
	return n, err
}
