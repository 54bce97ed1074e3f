package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/result"
)

const (
	// dialTimeout bounds the dial of a connection to a peer.
	dialTimeout = time.Second
	// connectWait is how long a call waits for a connection: several round trips between
	// regions. The machine of a dead peer sends no response at all, and a call that
	// waited for the full dialTimeout would have no time left to try another peer. The
	// dial continues for later calls.
	connectWait = 250 * time.Millisecond
)

// Client calls peers over one persistent connection each.
//
// Lock order: Client.mu, link.mu, connection.mu. None is held across I/O.
type Client struct {
	// Metrics counts the calls; nil disables it. It must be set before the first call.
	Metrics *Metrics

	self   string
	dialer netio.Dialer
	// baseCtx is the parent context of all dials. Close cancels it.
	baseCtx    context.Context
	cancelBase context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a Client that identifies itself to peers as self.
func NewClient(self string, d netio.Dialer) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{self: self, dialer: d, baseCtx: ctx, cancelBase: cancel, links: make(map[string]*link)}
}

// Call implements Caller. An error that wraps ErrNotSent reports that the peer did not
// receive the call; a *result.Error is the peer's own response.
func (c *Client) Call(ctx context.Context, address, method string, params, reply any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.Metrics.countSent(method, len(raw))
	sized := sizedReply{target: reply}
	err = send(ctx, conn.rpc, method, envelope{From: c.self, Params: raw}, &sized)
	c.Metrics.countReceived(method, sized.size)
	// After a timeout the connection may be dead without having reported an error, so new
	// calls use a new one.
	conn.endCall(errors.Is(err, context.DeadlineExceeded))
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return decodeError(rpcErr)
	}
	return err
}

// connect returns an open connection to a peer, on which one call is counted.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connectWait)
	defer cancel()
	return c.link(address).beginCall(ctx, func() (net.Conn, error) { return c.dial(address) })
}

// send writes one call and waits for its response until ctx ends. A failed write proves that the
// peer did not process the call: it reads whole messages only, and the end of this one was
// never passed to the network. If ctx ends first, the call may still be written.
func send(ctx context.Context, conn *jsonrpc2.Conn, method string, params, reply any) error {
	dispatched := make(chan dispatch, 1)
	// A peer that does not read blocks the write, and those of other calls behind it, for
	// longer than a caller may wait.
	go func() {
		waiter, err := conn.DispatchCall(ctx, method, params)
		dispatched <- dispatch{waiter, err}
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case d := <-dispatched:
		if d.err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, d.err)
		}
		return d.waiter.Wait(ctx, reply)
	}
}

// dispatch is the outcome of writing a call.
type dispatch struct {
	waiter jsonrpc2.Waiter
	err    error
}

// dial opens a connection. Several calls wait for it, so it does not use the context of
// any of them.
func (c *Client) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.baseCtx, dialTimeout)
	defer cancel()
	return c.dialer.Dial(ctx, address)
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		l = &link{}
		c.links[address] = l
	}
	return l
}

// Connected reports whether a connection to the peer at an address is open.
func (c *Client) Connected(address string) bool {
	c.mu.Lock()
	l := c.links[address]
	c.mu.Unlock()
	return l != nil && l.connected()
}

// Close closes all connections.
func (c *Client) Close() {
	c.cancelBase()
	c.mu.Lock()
	links := c.links
	c.links = make(map[string]*link)
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func isDisconnected(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func newObjectStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}

// ignoreRequests drops requests that arrive on a connection opened by this side: peers
// send theirs over connections of their own.
type ignoreRequests struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func decodeError(rpcErr *jsonrpc2.Error) error {
	if _, known := result.Lookup(result.Code(rpcErr.Code)); !known {
		return rpcErr
	}
	e := result.New(result.Code(rpcErr.Code), "%s", rpcErr.Message)
	if rpcErr.Data != nil {
		var after int64
		if json.Unmarshal(*rpcErr.Data, &after) == nil {
			e.RetryAfter = time.Duration(after)
		}
	}
	return e
}
