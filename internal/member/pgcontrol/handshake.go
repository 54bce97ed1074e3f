package pgcontrol

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// handshakeTimeout limits a handshake, including one that no call waits for
	// any more.
	handshakeTimeout = 5 * time.Second
	// secondHandshakeDelay is how long a handshake may take before a second one
	// starts in parallel. A connection can stop responding for good while new
	// ones work. With only one handshake, a healthy member would appear lost
	// until that handshake timed out.
	secondHandshakeDelay = 250 * time.Millisecond
	// maxHandshakes limits the handshakes in progress with one member.
	maxHandshakes = 2
)

// handshake is a connection that is being dialled or authenticated. Once the
// network connection is open, the handshake outlives the call that started it.
// A frozen member has accepted that connection and counts it until the member
// runs again, even if this end closes it. If each probe opened another
// connection, the probes would exhaust the group's connection limit in a second;
// instead, the next call waits for the same handshake.
type handshake struct {
	startedAt time.Time
	cancel    context.CancelFunc
	// done is closed when the handshake ends, after err is set.
	done chan struct{}
	err  error
	// connected is set once the network connection is open.
	connected atomic.Bool
}

// pendingHandshakes tracks the handshakes in progress with one member and the
// calls that wait for any of them. Dialer.mu guards all fields except ready.
type pendingHandshakes struct {
	// active is the number of handshakes in progress, and newest the one that
	// started last.
	active int
	newest *handshake
	// waiters is the number of waiting calls; ready holds connections for them.
	waiters int
	ready   chan *control
}

// addWaiter registers a call that waits for a connection to address.
func (d *Dialer) addWaiter(address string) *pendingHandshakes {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := d.pending[address]
	if pending == nil {
		pending = &pendingHandshakes{ready: make(chan *control, maxHandshakes)}
		d.pending[address] = pending
	}
	pending.waiters++
	return pending
}

// removeWaiter unregisters a call. With the last one, it closes connections that
// no call received and cancels a dial that has not succeeded yet. A handshake
// whose network connection is open continues, and the next call waits for it.
func (d *Dialer) removeWaiter(address string, pending *pendingHandshakes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending.waiters--
	if pending.waiters > 0 {
		return
	}
	for len(pending.ready) > 0 {
		_ = (<-pending.ready).Close()
	}
	if h := pending.newest; h != nil && !h.connected.Load() {
		h.cancel()
	}
	if pending.active == 0 {
		delete(d.pending, address)
	}
}

// currentHandshake returns the newest handshake with a member. It starts one if
// there is none, or if the newest has exceeded secondHandshakeDelay and
// maxHandshakes permits another.
func (d *Dialer) currentHandshake(address string, pending *pendingHandshakes) (*handshake, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := pending.newest
	if h != nil && (pending.active >= maxHandshakes || time.Since(h.startedAt) <= secondHandshakeDelay) {
		return h, nil
	}
	cfg, err := d.connConfig(address)
	if err != nil {
		return nil, err
	}
	pending.active++
	pending.newest = d.startHandshake(address, pending, cfg)
	return pending.newest, nil
}

// startHandshake dials and authenticates a connection in a new goroutine.
func (d *Dialer) startHandshake(address string, pending *pendingHandshakes, cfg *pgconn.Config) *handshake {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	h := &handshake{startedAt: time.Now(), cancel: cancel, done: make(chan struct{})}
	c := &control{}
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		// pgconn dials again to cancel a call whose context has ended. Control
		// calls need no cancellation, and for a dead member this would only be one
		// more dial.
		if c.netConn != nil {
			return nil, errSecondDial
		}
		netConn, err := d.network.Dial(ctx, address)
		h.connected.Store(err == nil)
		c.netConn = netConn
		return netConn, err
	}
	go func() {
		defer cancel()
		c.conn, h.err = pgconn.ConnectConfig(ctx, cfg)
		d.finishHandshake(address, pending, h, c)
	}()
	return h
}

// finishHandshake passes the connection to the waiting calls, or closes it if
// there are none or ready is full.
func (d *Dialer) finishHandshake(address string, pending *pendingHandshakes, h *handshake, c *control) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending.active--
	if pending.newest == h {
		pending.newest = nil
	}
	if h.err == nil && (pending.waiters == 0 || !trySend(pending.ready, c)) {
		_ = c.Close()
	}
	if pending.active == 0 && pending.waiters == 0 {
		delete(d.pending, address)
	}
	close(h.done)
}

// trySend sends a connection to ready and reports false if ready is full.
func trySend(ready chan *control, c *control) bool {
	select {
	case ready <- c:
		return true
	default:
		return false
	}
}
