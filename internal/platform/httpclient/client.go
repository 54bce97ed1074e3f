// Package httpclient is the platform's API over HTTP.
//
// Reads that fail in any way are ErrUnavailable and may be repeated. A Put is
// told apart by whether its request can have reached the platform: an answer
// that is lost after sending is ErrOutcomeUnknown and never taken for a
// refusal.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/topazrock/topazrock/internal/netio"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// watchWait is how long the platform holds a watch that has nothing to tell.
	watchWait = 20 * time.Second
	// idleTimeout is how long a connection is kept without calls.
	idleTimeout = 30 * time.Second
	// maxIdle is how many connections are kept.
	maxIdle = 4
	// maxObjectAnswer bounds the answer of one object, in bytes: its value in
	// base64 and the other fields.
	maxObjectAnswer = 2 * platform.MaxValueSize
	// maxListAnswer bounds the answer of a list, a watch or the inventory, in
	// bytes.
	maxListAnswer = 64 << 20
)

// Client calls the platform. It may be used by many goroutines.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
	cache     inventoryCache
}

var _ platform.API = (*Client)(nil)

// New returns a client of the platform at base, such as http://10.0.0.1:7000.
// timeout bounds one call; a watch may wait longer by its waiting time.
func New(base string, dialer netio.Dialer, timeout time.Duration) *Client {
	t := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialer.Dial(ctx, address)
		},
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: timeout,
		DisableCompression:  true,
	}
	return &Client{base: base, timeout: timeout, transport: t,
		http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the connections that no call is using.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
