package member

import (
	"time"

	"github.com/topazrock/topazrock/internal/netio"
)

// Options set up a Node. Zero bounds mean no bound.
type Options struct {
	// Address is where the node listens: an IP address and a port.
	Address string
	// Primary is the address of the primary of term 1. The node whose own
	// address it is leads; the others follow it. Empty starts a node that has
	// entered no term.
	Primary string
	Network netio.Network
	// ID and Group are the names that callers of the line protocol ask for.
	ID, Group string
	// ConnectionTotal is how many data connections the node takes.
	ConnectionTotal int
	// Slots is how many statements run at once; others wait.
	Slots int
	// ConnectDelay is how long the set-up of a connection takes.
	ConnectDelay time.Duration
	// ReplicationLag is how long after its commit a replica takes a record.
	ReplicationLag time.Duration
	// StatementCost is how long a statement on rows holds its slot.
	StatementCost time.Duration
}
