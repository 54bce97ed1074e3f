package memnet

import (
	"io"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
)

var _ netio.RemoteStater = (*conn)(nil)

// RemoteState implements netio.RemoteStater: it reports an end of the stream that has arrived.
func (c *conn) RemoteState() netio.RemoteState {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.in.blackholed || c.net.isBlocked(c.in.link) || len(c.in.chunks) == 0 {
		return netio.RemoteOpen
	}
	last := c.in.chunks[len(c.in.chunks)-1]
	switch {
	case last.endErr == nil, time.Now().Before(last.arrivesAt):
		return netio.RemoteOpen
	case last.endErr == io.EOF:
		return netio.RemoteFinished
	default:
		return netio.RemoteReset
	}
}
