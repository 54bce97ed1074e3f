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
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = time.Second
	// connectWait is how long a call waits for a connection: several round trips
	// between regions. The machine of a dead peer answers nothing, and a call that
	// waited for the dial's own bound would have no time left for another peer. The
	// dial goes on for later calls.
	connectWait = 250 * time.Millisecond
)

// Client calls peers over one kept connection each.
//
// Lock order: Client.mu, link.mu, channel.mu. None is held across I/O.
type Client struct {
	// Metrics counts the calls; nil for nothing. It is set before the first call.
	Metrics *Metrics

	self   string
	dialer netio.Dialer
	// life ends with Close, and every dial with it.
	life context.Context
	end  context.CancelFunc

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a Client that names itself self.
func NewClient(self string, d netio.Dialer) *Client {
	life, end := context.WithCancel(context.Background())
	return &Client{self: self, dialer: d, life: life, end: end, links: make(map[string]*link)}
}

// Call implements Caller. An error that wraps ErrNotSent says that the peer did
// not see the call; a *result.Error is the peer's own answer.
func (c *Client) Call(ctx context.Context, address, method string, params, reply any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	channel, err := c.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.Metrics.sent(method, len(raw))
	taken := answer{into: reply}
	err = send(ctx, channel.conn, method, envelope{From: c.self, Params: raw}, &taken)
	c.Metrics.received(method, taken.size)
	// After a timeout the connection may have gone silent for good, so new calls
	// get another one.
	channel.end(errors.Is(err, context.DeadlineExceeded))
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		return decodeError(wire)
	}
	return err
}

// connect returns an open channel to a peer.
func (c *Client) connect(ctx context.Context, address string) (*channel, error) {
	ctx, cancel := context.WithTimeout(ctx, connectWait)
	defer cancel()
	return c.link(address).begin(ctx, func() (net.Conn, error) { return c.dial(address) })
}

// send writes one call and waits for its answer. A failed write proves that the
// peer did not see the call: it reads whole messages only, and the end of this
// one was never handed to the network.
func send(ctx context.Context, conn *jsonrpc2.Conn, method string, params, reply any) error {
	waiter, err := conn.DispatchCall(ctx, method, params)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return waiter.Wait(ctx, reply)
}

// dial opens a connection that several calls wait for, so it is bound to none of
// their contexts.
func (c *Client) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.life, dialTimeout)
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

// Close ends all connections.
func (c *Client) Close() {
	c.end()
	c.mu.Lock()
	links := c.links
	c.links = make(map[string]*link)
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func disconnected(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func stream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}

// refuseCalls drops requests that come over a connection that this side opened:
// peers open their own.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func decodeError(wire *jsonrpc2.Error) error {
	if _, known := result.Lookup(result.Code(wire.Code)); !known {
		return wire
	}
	e := result.New(result.Code(wire.Code), "%s", wire.Message)
	if wire.Data != nil {
		var after int64
		if json.Unmarshal(*wire.Data, &after) == nil {
			e.RetryAfter = time.Duration(after)
		}
	}
	return e
}
