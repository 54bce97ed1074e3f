// Package wire defines the interface between the core, which decides what runs where, and
// the protocols of the members.
//
// The core passes an Exchange to a Conn: the steps that belong together, in order. The Conn
// sends them in one write, reads every response, and fills in the outcome. Only the Conn
// knows their encoding.
package wire

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
)

var (
	// ErrRefused reports that the member refused to open a connection, so that it holds
	// none from this attempt.
	ErrRefused = errors.New("member refused the connection")
	// ErrFull reports that the member currently accepts no more connections.
	ErrFull = fmt.Errorf("%w: it takes no more", ErrRefused)
	// ErrNotSupported reports that the member's protocol has no such step. Nothing was
	// sent.
	ErrNotSupported = errors.New("the member's protocol has no such step")
)

// Conn is one connection to a member. It serves one unit or transaction at a
// time and is used by one goroutine at a time.
type Conn interface {
	// Address returns the member's address.
	Address() string
	// Opened returns when the connection was opened.
	Opened() time.Time
	// Reusable reports whether another unit may use the connection. A late response that is
	// still on the wire would reach the next unit as its own, so a connection with
	// responses outstanding is never clean.
	Reusable() bool
	// MarkUnusable marks the connection as unusable for further units.
	MarkUnusable()
	// SetDeadline sets the deadline of all reads and writes until the next call.
	SetDeadline(t time.Time) error
	// Run sends the exchange's steps and reads the responses. After an error the connection
	// is unusable, and what was sent may have run, unless the error wraps ErrNotSupported.
	Run(x *Exchange) error
	// Cancel asks the member, on a separate connection, to cancel what is running.
	Cancel(ctx context.Context, d netio.Dialer) error
	// Check returns an error when the member has closed an idle connection or
	// sent something on it. It makes no round trip.
	Check() error
	// Probe makes one round trip on an idle connection.
	Probe(ctx context.Context) error
	// Shutdown closes the connection and returns nil once the member has confirmed it by
	// closing its end.
	Shutdown(ctx context.Context) error
	// Close closes the network connection at once.
	Close() error
}
