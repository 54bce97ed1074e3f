// Package pool keeps an instance's connections to the members of a group
// within the instance's share of the group's total.
package pool

import (
	"context"
	"time"

	"github.com/topazrock/topazrock/internal/upstream"
)

// Pool hands out connections of one group.
type Pool interface {
	// Acquire returns a clean connection to the member at address. Errors are
	// *result.Error with a code of the did-not-run family.
	Acquire(ctx context.Context, address string) (*upstream.Conn, error)
	// Release takes back a connection. One that is not provably clean, or whose
	// member is leaving, is closed.
	Release(c *upstream.Conn)
	// Suspect tells that a connection to address opened at opened went silent:
	// all of that age are probed before they are used again.
	Suspect(address string, opened time.Time)
}
