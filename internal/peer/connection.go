package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout bounds one write to a peer. A peer that does not read would otherwise
// block every call on the connection, whatever its deadline.
const writeTimeout = 2 * time.Second

// connection is one connection to a peer and the calls in flight on it.
type connection struct {
	rpc *jsonrpc2.Conn

	mu       sync.Mutex
	inFlight int
	// draining reports that no new call may begin. The connection closes after the last
	// call in flight: closing it at once would leave the outcome of the other calls
	// unknown.
	draining bool
}

func newConnection(conn net.Conn) *connection {
	return &connection{rpc: jsonrpc2.NewConn(context.Background(), newObjectStream(writeDeadlineConn{conn}), ignoreRequests{}, discardLog)}
}

// beginCall counts a call, or returns false if the connection accepts no more calls.
func (c *connection) beginCall() bool {
	if isDisconnected(c.rpc) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return false
	}
	c.inFlight++
	return true
}

// endCall counts the end of a call. If drain is set, the connection accepts no new calls.
func (c *connection) endCall(drain bool) {
	c.mu.Lock()
	c.inFlight--
	c.draining = c.draining || drain
	last := c.draining && c.inFlight == 0
	c.mu.Unlock()
	if last {
		c.rpc.Close()
	}
}

// writeDeadlineConn sets a deadline for every write and closes the connection after a
// failed one: part of a message may have been sent, and the peer would read the next
// message as the rest of it.
type writeDeadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (w writeDeadlineConn) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	if err != nil {
		w.Conn.Close()
	}
	return n, err
}
