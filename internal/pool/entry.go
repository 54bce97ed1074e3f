package pool

import (
	"time"

	"github.com/topazrock/topazrock/internal/wire"
)

// state is where a connection stands.
type state int

const (
	stateIdle state = iota
	stateInUse
	stateProbing
	stateClosing
)

// entry is one connection that counts against the limit.
type entry struct {
	conn   wire.Conn
	member *memberState
	// workspace is the one that the connection was opened for, the only one it serves.
	workspace string
	state     state
	// replaced says that the connection is closed to make room at the member.
	replaced bool
	// suspect says that the connection must be probed before its next use.
	suspect bool
	// heardAt is when the connection last became idle, with every answer read.
	heardAt time.Time
}
