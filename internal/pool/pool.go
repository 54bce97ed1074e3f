// Package pool manages an instance's connections to the members of a group within the
// instance's share of the group's connection limit.
//
// A connection counts from the start of its opening until the member has confirmed its
// closing or can be assumed to have closed it. Opening, closing and probing a connection
// each run in their own goroutine, at most one for each counted connection; all of them
// update the state of one Limited.
//
// Locking: Limited.mu is the only lock. No other lock is acquired while it is held, and it
// is never held across I/O or across calls of the functions Open, Probe, Check and Close of
// Config.
package pool

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/wire"
)

// Pool hands out connections of one group.
type Pool interface {
	// Acquire returns a clean connection to the member at address that was opened for the
	// workspace. Errors are *result.Error with a code of the did-not-run family.
	Acquire(ctx context.Context, address, workspace string) (wire.Conn, error)
	// Release returns a connection to the pool. It is closed if it is not known to be clean
	// or if its member is leaving.
	Release(c wire.Conn)
	// MarkSuspect reports that a connection to address, opened at opened, stopped responding:
	// all connections of the same age are probed before they are used again.
	MarkSuspect(address string, opened time.Time)
	// ProbeIdle probes every idle connection, to any member, that became idle before
	// cutoff. It is called when there are signs that a network device between this
	// instance and the members has dropped connection state.
	ProbeIdle(cutoff time.Time)
	// IsFull reports whether statements for the member at address are refused because it
	// accepts no connections and the pool has none to it.
	IsFull(address string) bool
	// HasIdle reports whether there is an idle connection of the workspace to the member at
	// address.
	HasIdle(address, workspace string) bool
	// FullForWorkspace reports the same as IsFull, but for statements of one workspace, which only
	// that workspace's connections can serve.
	FullForWorkspace(address, workspace string) bool
}
