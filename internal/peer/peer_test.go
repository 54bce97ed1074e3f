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
	nearHost = "10.0.0.1"
	farHost  = "10.0.0.2"
	farAddr  = farHost + ":7432"
)

// inPair runs f with a client on one host and a server on another, whose method
// "slow" answers after the time it is given.
func inPair(t *testing.T, f func(is *is.I, n *memnet.Network, c *Client)) {
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
		l, err := n.Host(farHost).Listen(farAddr)
		is.NoErr(err)
		go func() { _ = s.Serve(l) }()
		c := NewClient("near", n.Host(nearHost))
		f(is, n, c)
		c.Close()
		_ = l.Close()
		s.Close()
		time.Sleep(time.Minute)
	})
}

func call(c *Client, bound, work time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	return c.Call(ctx, farAddr, "slow", work, nil)
}

// Two calls share a connection and one of them runs out of time. The other still
// gets its answer: closing the connection at once would leave its outcome
// unknown for nothing.
func TestTimeoutOfOneCallSparesTheOthers(t *testing.T) {
	inPair(t, func(is *is.I, _ *memnet.Network, c *Client) {
		other := make(chan error)
		go func() { other <- call(c, 10*time.Second, 3*time.Second) }()
		time.Sleep(100 * time.Millisecond)
		is.True(errors.Is(call(c, time.Second, 5*time.Second), context.DeadlineExceeded))
		is.NoErr(call(c, time.Second, 0))
		is.NoErr(<-other)
	})
}

// A peer cannot be reached and one call waits for its dial. Another call with a
// short deadline is not held up behind it, and both know that nothing was sent.
func TestUnreachablePeerHoldsUpNoOtherCall(t *testing.T) {
	inPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		n.Cut(nearHost, farHost)
		first := make(chan error)
		go func() { first <- call(c, 10*time.Second, 0) }()
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		is.True(errors.Is(call(c, 50*time.Millisecond, 0), ErrNotSent))
		is.Equal(time.Since(start), 50*time.Millisecond)
		is.True(errors.Is(<-first, ErrNotSent))
	})
}

// A peer's machine is gone and answers nothing, not even a refusal. A call is told in a
// quarter of a second that it was not sent, and its caller has time left for another
// peer; waiting for the dial's own bound would use it up.
func TestCallToADeadMachineIsToldSoon(t *testing.T) {
	inPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		n.Cut(nearHost, farHost)
		start := time.Now()
		is.True(errors.Is(call(c, 10*time.Second, 0), ErrNotSent))
		is.Equal(time.Since(start), connectWait)
	})
}

// A result code keeps its number and its retry-after on the way between
// instances: the caller's entry must not turn a refusal into something else.
func TestResultCodeTravels(t *testing.T) {
	inPair(t, func(is *is.I, _ *memnet.Network, c *Client) {
		err := c.Call(context.Background(), farAddr, "refuse", nil, nil)
		e, ok := result.As(err)
		is.True(ok)
		is.Equal(e.Code, result.QueueFull)
		is.Equal(e.Detail, "class x")
		is.Equal(e.RetryAfter, time.Second)
	})
}

// The connection breaks while a call is under way. Its outcome is not known,
// and must not be taken for a call that was never sent.
func TestBrokenConnectionLeavesTheOutcomeOpen(t *testing.T) {
	inPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		done := make(chan error)
		go func() { done <- call(c, 10*time.Second, 5*time.Second) }()
		time.Sleep(time.Second)
		n.Kill(farHost)
		err := <-done
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotSent))
	})
}

// Guards against a peer that cannot be called any more because a write to it was given up while
// its process stood still: half a message is in the stream, and nothing can follow it.
func TestPeerThatStoodStillIsCalledAgain(t *testing.T) {
	inPair(t, func(is *is.I, n *memnet.Network, c *Client) {
		is.NoErr(call(c, time.Second, 0))
		n.Freeze(farHost)
		large := make([]byte, 4<<20)
		err := c.Call(context.Background(), farAddr, "slow", large, nil)
		is.True(errors.Is(err, ErrNotSent))
		n.Thaw(farHost)
		time.Sleep(time.Second)
		is.NoErr(call(c, time.Second, 0))
	})
}
