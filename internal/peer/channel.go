package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout bounds one write to a peer. A peer that takes nothing would
// otherwise hold up every call on the connection, whatever their deadlines.
const writeTimeout = 2 * time.Second

// channel is one connection to a peer and the calls in flight on it.
type channel struct {
	conn *jsonrpc2.Conn

	mu       sync.Mutex
	inFlight int
	// retired says that no new call may begin. The connection closes with the
	// last call in flight: closing at once would leave the outcome of the
	// others unknown.
	retired bool
}

func newChannel(conn net.Conn) *channel {
	return &channel{conn: jsonrpc2.NewConn(context.Background(), stream(boundedWrites{conn}), refuseCalls{}, quiet)}
}

// begin counts a call, or reports that the channel takes none.
func (c *channel) begin() bool {
	if disconnected(c.conn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.inFlight++
	return true
}

// end counts a call that has ended. With retire, no new call begins.
func (c *channel) end(retire bool) {
	c.mu.Lock()
	c.inFlight--
	c.retired = c.retired || retire
	last := c.retired && c.inFlight == 0
	c.mu.Unlock()
	if last {
		c.conn.Close()
	}
}

// boundedWrites gives every write a deadline, and closes the connection behind one that failed:
// part of a message may have gone out, and what is written behind it would be read as the rest.
type boundedWrites struct{ net.Conn }

// Write implements net.Conn.
func (b boundedWrites) Write(p []byte) (int, error) {
	if err := b.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := b.Conn.Write(p)
	if err != nil {
		b.Conn.Close()
	}
	return n, err
}
