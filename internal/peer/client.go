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

// dialTimeout bounds the opening of a connection to a peer.
const dialTimeout = time.Second

// Client calls peers over one kept connection each.
//
// Lock order: Client.mu, then link.mu. Neither is held across a call; link.mu is
// held while its one connection is dialled.
type Client struct {
	self   string
	dialer netio.Dialer

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one peer.
type link struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewClient returns a Client that names itself self.
func NewClient(self string, d netio.Dialer) *Client {
	return &Client{self: self, dialer: d, links: make(map[string]*link)}
}

// Call implements Caller. An error that wraps ErrNotSent says that the peer did
// not see the call; a *result.Error is the peer's own answer.
func (c *Client) Call(ctx context.Context, address, method string, params, reply any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	err = conn.Call(ctx, method, envelope{From: c.self, Params: raw}, reply)
	if err == nil {
		return nil
	}
	var wire *jsonrpc2.Error
	if errors.As(err, &wire) {
		return decodeError(wire)
	}
	if ctx.Err() != nil {
		// The connection may have gone silent. New calls get a new one, and the
		// old one ends when its other calls do.
		c.drop(address, conn)
	}
	return err
}

func (c *Client) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	l := c.link(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && !disconnected(l.conn) {
		return l.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	l.conn = jsonrpc2.NewConn(context.Background(), stream(conn), refuseCalls{}, quiet)
	return l.conn, nil
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

func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	l := c.link(address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
	go conn.Close()
}

// Connected reports whether a connection to the peer at an address is open.
func (c *Client) Connected(address string) bool {
	c.mu.Lock()
	l := c.links[address]
	c.mu.Unlock()
	if l == nil || !l.mu.TryLock() {
		return false
	}
	defer l.mu.Unlock()
	return l.conn != nil && !disconnected(l.conn)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	links := c.links
	c.links = make(map[string]*link)
	c.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.Close()
		}
		l.mu.Unlock()
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
