package peer

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/standin/memnet"
)

const (
	clientHost = "10.0.0.1"
	serverHost = "10.0.0.2"
	serverAddr = serverHost + ":7432"
)

// runWithPair runs f with a client on one host and a server on another. The server's method
// "slow" responds after the duration in its params.
func runWithPair(t *testing.T, f func(is *is.I, n *memnet.Network, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := memnet.New()
		s := NewServer(hclog.NewNullLogger())
		s.Handle("slow", func(_ context.Context, _ string, params json.RawMessage) (any, error) {
			var wait time.Duration
			if err := json.Unmarshal(params, &wait); err != nil {
				return nil, err
			}
			time.Sleep(wait)
			return "done", nil
		})
		s.Handle("refuse", func(context.Context, string, json.RawMessage) (any, error) {
			return nil, result.New(result.QueueFull, "class x").WithRetryAfter(time.Second)
		})
		l, err := n.Host(serverHost).Listen(serverAddr)
		is.NoErr(err)
		go func() { _ = s.Serve(l) }()
		c := NewClient("near", n.Host(clientHost))
		f(is, n, c)
		c.Close()
		_ = l.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
}

func callSlow(c *Client, timeout, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Call(ctx, serverAddr, "slow", duration, nil)
}

// Two calls share a connection and one of them times out. The other must still get its response:
// closing the connection at once would leave its outcome unknown for no reason.
func TestTimedOutCallKeepsOthersRunning(t *testing.T) {
	runWithPair(t, func(is *is.I, _ *memnet.Network, c *Client) {
		other := make(chan error)
		go func() { other <- callSlow(c, 10*time.Second, 3*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		is.True(errors.Is(callSlow(c, time.Second, 5*time.Second), context.DeadlineExceeded))
		is.NoErr(callSlow(c, time.Second, 0))
		is.NoErr(<-other)
	})
}

// A peer is unreachable and one call waits for the dial. Another call with a short deadline must
// not be blocked by it, and both must report that nothing was sent.
func TestDialDoesNotBlockCallsWithShortDeadlines(t *testing.T) {
	runWithPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		n.Cut(clientHost, serverHost)
		first := make(chan error)
		go func() { first <- callSlow(c, 10*time.Second, 0) }()
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		is.True(errors.Is(callSlow(c, 50*time.Millisecond, 0), ErrNotSent))
		is.Equal(time.Since(start), 50*time.Millisecond)
		is.True(errors.Is(<-first, ErrNotSent))
	})
}

// A peer's machine is down and sends no response, not even a refusal. A call must report within
// a quarter of a second that it was not sent, so that its caller has time left for another peer;
// waiting for the dial timeout would use up that time.
func TestCallToADeadMachineFailsQuickly(t *testing.T) {
	runWithPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		n.Cut(clientHost, serverHost)
		start := time.Now()
		is.True(errors.Is(callSlow(c, 10*time.Second, 0), ErrNotSent))
		is.Equal(time.Since(start), connectWait)
	})
}

// A result code keeps its number and its retry-after in transit between instances: the instance
// that serves the caller must not turn a refusal into another error.
func TestResultCodeIsPreserved(t *testing.T) {
	runWithPair(t, func(is *is.I, _ *memnet.Network, c *Client) {
		err := c.Call(context.Background(), serverAddr, "refuse", nil, nil)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.QueueFull)
		is.Equal(e.Detail, "class x")
		is.Equal(e.RetryAfter, time.Second)
	})
}

// The connection breaks while a call is in progress. Its outcome is unknown, and the error must
// not report that the call was never sent.
func TestBrokenConnectionLeavesTheOutcomeUnknown(t *testing.T) {
	runWithPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		done := make(chan error)
		go func() { done <- callSlow(c, 10*time.Second, 5*time.Second) }()
		time.Sleep(time.Second)
		n.Kill(serverHost)
		err := <-done
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotSent))
	})
}

// Guards against a peer that can no longer be called because a write timed out while its process
// was suspended: the stream ends in half a message, and no other message can follow.
func TestPeerThatStoodStillIsCalledAgain(t *testing.T) {
	runWithPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		is.NoErr(callSlow(c, time.Second, 0))
		n.Freeze(serverHost)
		large := make([]byte, 4<<20)
		err := c.Call(context.Background(), serverAddr, "slow", large, nil)
		is.True(errors.Is(err, ErrNotSent))
		n.Thaw(serverHost)
		time.Sleep(time.Second)
		is.NoErr(callSlow(c, time.Second, 0))
	})
}

// Guards against a handler that cannot tell that its caller is gone: the context of a call must
// end with the connection that the call came on.
func TestContextOfCallEndsWithConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := memnet.New()
		s := NewServer(hclog.NewNullLogger())
		ended := make(chan error, 1)
		s.Handle("wait", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
		l, err := n.Host(serverHost).Listen(serverAddr)
		is.NoErr(err)
		go func() { _ = s.Serve(l) }()
		c := NewClient("near", n.Host(clientHost))
		go func() { _ = c.Call(context.Background(), serverAddr, "wait", nil, nil) }()
		time.Sleep(time.Second)
		is.Equal(len(ended), 0)
		c.Close()
		time.Sleep(time.Second)
		is.Equal(len(ended), 1)
		_ = l.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
}
