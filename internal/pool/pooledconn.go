package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/wire"
)

// state is the state of a pooled connection.
type state int

const (
	stateIdle state = iota
	stateInUse
	stateProbing
	stateClosing
)

// pooledConn is one connection that counts against the limit.
type pooledConn struct {
	conn   wire.Conn
	member *memberState
	// workspace is the one that the connection was opened for and the only one it serves.
	workspace string
	state     state
	// replaced reports that the connection is being closed to free capacity at the member
	// for another workspace.
	replaced bool
	// suspect reports that the connection must be probed before its next use.
	suspect bool
	// idleSince is when the connection last became idle, with every response read.
	idleSince time.Time
}
