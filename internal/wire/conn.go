// Package wire is the seam between the core, which decides what runs where, and
// the protocols that members speak.
//
// The core hands an Exchange to a Conn: the steps that belong together, in
// order. The Conn sends them in one write, reads every answer, and fills in the
// outcome. What the bytes look like is known to the Conn alone.
package wire

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
)

var (
	// ErrRefused says that the member answered an opening and refused it, so
	// that it holds no connection.
	ErrRefused = errors.New("member refused the connection")
	// ErrFull says that the member takes no more connections for now.
	ErrFull = fmt.Errorf("%w: it takes no more", ErrRefused)
	// ErrNotSupported says that the member's protocol has no such step. Nothing
	// was sent.
	ErrNotSupported = errors.New("the member's protocol has no such step")
)

// Conn is one connection to a member. It serves one unit or transaction at a
// time and is used by one goroutine at a time.
type Conn interface {
	// Address returns the member's address.
	Address() string
	// Opened returns when the connection was opened.
	Opened() time.Time
	// Clean reports whether another unit may use the connection. A late answer
	// that is still on the wire would reach the next unit as its own, so a
	// connection with answers outstanding is never clean.
	Clean() bool
	// Spoil marks the connection as not to be used again.
	Spoil()
	// SetDeadline bounds every read and write until it is set again.
	SetDeadline(t time.Time) error
	// Run sends the exchange's steps and reads their answers. An error means
	// that the connection is spoiled and that what was sent may have run, unless
	// it wraps ErrNotSupported.
	Run(x *Exchange) error
	// Cancel asks the member, on a connection of its own, to stop what is running.
	Cancel(ctx context.Context, d netio.Dialer) error
	// Check returns an error when the member has closed an idle connection or
	// sent something on it. It makes no round trip.
	Check() error
	// Probe makes one round trip on an idle connection.
	Probe(ctx context.Context) error
	// Shutdown ends the connection and returns nil once the member has let it go.
	Shutdown(ctx context.Context) error
	// Close closes the network connection at once.
	Close() error
}
