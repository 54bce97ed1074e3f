package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/upstream"
)

// A caller cancels its statement, which ends by itself a moment before the
// cancel request reaches the member. Were the connection used again, the request
// would stop the next caller's statement.
func TestConnectionThatACancelNamesIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	r := newRunning()
	cancelled := upstream.NewConn("a", time.Time{}, nil, nil)
	r.start("u1", cancelled, time.Time{})
	is.Equal(r.claimCancel("u1"), cancelled)
	r.stop("u1", cancelled, time.Time{}, true)
	is.True(!cancelled.Clean())

	finished := upstream.NewConn("a", time.Time{}, nil, nil)
	r.start("u2", finished, time.Time{})
	r.stop("u2", finished, time.Time{}, true)
	is.True(r.claimCancel("u2") == nil)
	is.True(finished.Clean())
	is.Equal(r.at("a"), 0)
}
