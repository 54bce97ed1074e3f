package member

import (
	"time"

	"github.com/topazrock/topazrock/internal/netio"
)

// Options configure a Node. A limit of zero means no limit.
type Options struct {
	// Address is the listen address: an IP address and a port.
	Address string
	// Primary is the address of the primary of term 1. The node with this Address is
	// the primary, any other node a replica. If it is empty, the node starts fenced
	// and has entered no term.
	Primary string
	Network netio.Network
	// ID and Group are the member and group names that clients of the line protocol
	// give in START.
	ID, Group string
	// MaxConnections is the maximum number of data connections.
	MaxConnections int
	// MaxConcurrentStatements is the maximum number of concurrent statements; others wait.
	MaxConcurrentStatements int
	// ConnectDelay is how long it takes to set up a connection.
	ConnectDelay time.Duration
	// ReplicationLag is how long after its commit a replica applies a record.
	ReplicationLag time.Duration
	// StatementCost is the minimum time for which a statement on rows holds its slot.
	StatementCost time.Duration
}
