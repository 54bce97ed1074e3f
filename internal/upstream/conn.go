// Package upstream implements wire.Conn for the PostgreSQL wire protocol.
//
// A connection serves one unit or transaction at a time. It is clean when the last
// ReadyForQuery reported idle, every expected response has been read, and nothing that ran
// can have left session state on it.
package upstream

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/wire"
)

var _ wire.Conn = (*Conn)(nil)

// maxPrepared bounds the prepared statements of one connection. A connection with more is
// closed after its current use, so that ad hoc statements cannot fill the member's
// memory.
const maxPrepared = 256

// Conn implements wire.Conn.
type Conn struct {
	address  string
	opened   time.Time
	netConn  net.Conn
	frontend *pgproto3.Frontend
	// cancelKey identifies this connection's backend in a cancel request.
	cancelKey CancelKey
	// prepared holds the names of the prepared statements that exist on the connection.
	prepared map[string]struct{}
	// sessionValues are the session values set on the connection, by name.
	sessionValues map[string]string
	// expectsParameterChanges reports that ParameterStatus messages are expected, because
	// the unit changes session values.
	expectsParameterChanges bool
	// pendingReady counts the requested ReadyForQuery messages that have not been read yet.
	pendingReady int
	// unusable reports that the connection must not be used again.
	unusable bool
}

// Address returns the member's address.
func (c *Conn) Address() string { return c.address }

// Opened returns when the connection was opened.
func (c *Conn) Opened() time.Time { return c.opened }

// Reusable reports whether another unit may use the connection. A late response that is still
// on the wire would reach the next unit as its own, so a connection with responses
// outstanding is never clean.
func (c *Conn) Reusable() bool { return !c.unusable && c.pendingReady == 0 }

// MarkUnusable marks the connection as unusable for further units.
func (c *Conn) MarkUnusable() { c.unusable = true }

// Close closes the network connection at once.
func (c *Conn) Close() error { return c.netConn.Close() }

// SetDeadline sets the deadline of all reads and writes until the next call.
func (c *Conn) SetDeadline(t time.Time) error { return c.netConn.SetDeadline(t) }

// HasPrepared reports whether a prepared statement of that name exists on the connection.
func (c *Conn) HasPrepared(name string) bool {
	_, ok := c.prepared[name]
	return ok
}

// MarkPrepared records that a prepared statement of that name exists on the connection.
func (c *Conn) MarkPrepared(name string) {
	c.prepared[name] = struct{}{}
	if len(c.prepared) > maxPrepared {
		c.unusable = true
	}
}
