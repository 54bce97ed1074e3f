// Package pool keeps an instance's connections to the members of a group
// within the instance's share of the group's total.
//
// A connection counts from the moment its opening begins until the member is
// known to have let it go. What opens, closes or probes a connection runs in
// its own goroutine, at most one for each counted connection; all of them work
// on the tables of one Limited.
//
// Lock order: Limited.mu is the only lock, it is a leaf, and it is never held
// across I/O or across a call of a Config function.
package pool

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/wire"
)

// Pool hands out connections of one group.
type Pool interface {
	// Acquire returns a clean connection to the member at address that was opened for
	// the workspace. Errors are *result.Error with a code of the did-not-run family.
	Acquire(ctx context.Context, address, workspace string) (wire.Conn, error)
	// Release takes back a connection. One that is not provably clean, or whose
	// member is leaving, is closed.
	Release(c wire.Conn)
	// Suspect tells that a connection to address opened at opened went silent:
	// all of that age are probed before they are used again.
	Suspect(address string, opened time.Time)
	// ProbeIdle probes every idle connection, to whatever member, that was not
	// used since a moment. It is for signs that something between this instance
	// and the members has lost track of connections.
	ProbeIdle(since time.Time)
	// Full reports whether statements for the member at address are refused because
	// it takes no connection and there is none.
	Full(address string) bool
	// Idle reports whether a connection of the workspace to the member at address is idle.
	Idle(address, workspace string) bool
	// FullFor reports the same for statements of one workspace.
	FullFor(address, workspace string) bool
}
