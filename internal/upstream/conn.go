// Package upstream speaks the PostgreSQL wire protocol to one member.
//
// A connection serves one unit or transaction at a time. It is clean when the
// last ReadyForQuery said idle, every expected answer has been read, and
// nothing that ran can have left session state behind.
package upstream

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Conn is one connection to a member. It is used by one goroutine at a time.
type Conn struct {
	address  string
	opened   time.Time
	net      net.Conn
	frontend *pgproto3.Frontend
	// prepared holds the names of statements that exist on the connection.
	prepared map[string]struct{}
	// dirty says that the connection must not be used again.
	dirty bool
}

// Address returns the member's address.
func (c *Conn) Address() string { return c.address }

// Opened returns when the connection was opened.
func (c *Conn) Opened() time.Time { return c.opened }

// Clean reports whether another unit may use the connection.
func (c *Conn) Clean() bool { return !c.dirty }

// Spoil marks the connection as not to be used again.
func (c *Conn) Spoil() { c.dirty = true }

// Close closes the network connection at once.
func (c *Conn) Close() error { return c.net.Close() }
