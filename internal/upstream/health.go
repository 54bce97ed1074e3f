package upstream

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/netio"
)

var (
	encodedSync      = mustEncode(&pgproto3.Sync{})
	encodedTerminate = mustEncode(&pgproto3.Terminate{})
)

// Check implements wire.Conn. It checks the socket without a round trip and cannot detect a
// peer that has stopped responding.
func (c *Conn) Check() error { return netio.CheckIdle(c.netConn) }

// Probe implements wire.Conn.
func (c *Conn) Probe(ctx context.Context) error {
	if d, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(d); err != nil {
			return err
		}
		defer c.SetDeadline(time.Time{})
	}
	if err := c.Send(encodedSync, 1); err != nil {
		return err
	}
	for c.pendingReady > 0 {
		if _, err := c.Receive(); err != nil {
			return err
		}
	}
	return nil
}

// Shutdown implements wire.Conn: it returns nil once the member has closed its end. The
// member counts the connection until then, so the pool must not stop counting it as soon
// as this end is closed.
func (c *Conn) Shutdown(ctx context.Context) error {
	defer c.Close()
	c.unusable = true
	if d, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(d); err != nil {
			return err
		}
	}
	if _, err := c.netConn.Write(encodedTerminate); err != nil {
		return err
	}
	var discarded [512]byte
	for {
		_, err := c.netConn.Read(discarded[:])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
