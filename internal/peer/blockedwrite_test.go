package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/standin/memnet"
)

// A peer does not read, and a large call fills the connection to it. Guards against a call that
// goes on waiting for that write after its context has ended: at the end of a drain, its caller
// would get no answer.
func TestCallEndsWithItsContextWhileThePeerDoesNotRead(t *testing.T) {
	runWithPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		is.NoErr(callSlow(c, time.Second, 0))
		n.Freeze(serverHost)
		const timeout = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		began := time.Now()
		err := c.Call(ctx, serverAddr, "slow", make([]byte, 4<<20), nil)
		is.Equal(time.Since(began), timeout)
		// The call may still be written, so the error must not say that it was not sent.
		is.True(err != nil && !errors.Is(err, ErrNotSent))
		n.Thaw(serverHost)
		time.Sleep(2 * writeTimeout)
		is.NoErr(callSlow(c, time.Second, 0))
	})
}
