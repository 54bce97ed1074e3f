package pgcontrol

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// handshakeTimeout bounds a handshake that nobody waits for any more.
	handshakeTimeout = 5 * time.Second
	// secondAfter is how long a handshake may stand before a second one begins
	// beside it. One connection may have gone silent for good while new ones
	// work; a single one would make a sound member look lost for so long.
	secondAfter = 250 * time.Millisecond
	// maxHandshakes bounds the handshakes under way with one member.
	maxHandshakes = 2
)

// handshake is a connection on its way: dialled or being dialled, and not yet
// authenticated. It outlives the call that began it once the network connection
// stands: a member that is frozen has accepted that connection and will count
// it, whether it is closed at this end or not, until it runs again. Probes that
// each opened one more would use up the group's connections in a second; instead
// the next call waits on for the same one.
type handshake struct {
	began  time.Time
	cancel context.CancelFunc
	// done is closed at the end, after err was set.
	done chan struct{}
	err  error
	// standing says that the network connection is open.
	standing atomic.Bool
}

// handshakes are those under way with one member, and the calls that wait for
// any of them. Dialer.mu guards it, but for ready.
type handshakes struct {
	// count is how many have not ended, newest the one that began last.
	count  int
	newest *handshake
	// waiting counts the calls; ready holds connections for them.
	waiting int
	ready   chan *control
}

// join counts one more waiting call.
func (d *Dialer) join(address string) *handshakes {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.underWay[address]
	if q == nil {
		q = &handshakes{ready: make(chan *control, maxHandshakes)}
		d.underWay[address] = q
	}
	q.waiting++
	return q
}

// leave counts a call that no longer waits. With the last one, connections that
// nobody took are closed and a dial that has not been answered is given up; a
// standing connection is waited for by the next call.
func (d *Dialer) leave(address string, q *handshakes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.waiting--
	if q.waiting > 0 {
		return
	}
	for len(q.ready) > 0 {
		_ = (<-q.ready).Close()
	}
	if h := q.newest; h != nil && !h.standing.Load() {
		h.cancel()
	}
	if q.count == 0 {
		delete(d.underWay, address)
	}
}

// current returns the newest handshake with a member, or begins one.
func (d *Dialer) current(address string, q *handshakes) (*handshake, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := q.newest
	if h != nil && (q.count >= maxHandshakes || time.Since(h.began) <= secondAfter) {
		return h, nil
	}
	cfg, err := d.config(address)
	if err != nil {
		return nil, err
	}
	q.count++
	q.newest = d.begin(address, q, cfg)
	return q.newest, nil
}

// begin starts a handshake.
func (d *Dialer) begin(address string, q *handshakes, cfg *pgconn.Config) *handshake {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	h := &handshake{began: time.Now(), cancel: cancel, done: make(chan struct{})}
	c := &control{}
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		// pgconn dials again to cancel a call whose context ended. The control
		// calls need no cancel, and to a dead member it would only add a dial.
		if c.raw != nil {
			return nil, errOneDial
		}
		raw, err := d.network.Dial(ctx, address)
		h.standing.Store(err == nil)
		c.raw = raw
		return raw, err
	}
	go func() {
		defer cancel()
		c.conn, h.err = pgconn.ConnectConfig(ctx, cfg)
		d.finish(address, q, h, c)
	}()
	return h
}

// finish hands the connection to the calls that wait, or closes it if none does.
func (d *Dialer) finish(address string, q *handshakes, h *handshake, c *control) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.count--
	if q.newest == h {
		q.newest = nil
	}
	if h.err == nil && (q.waiting == 0 || !offer(q.ready, c)) {
		_ = c.Close()
	}
	if q.count == 0 && q.waiting == 0 {
		delete(d.underWay, address)
	}
	close(h.done)
}

// offer puts a connection into ready unless it is full.
func offer(ready chan *control, c *control) bool {
	select {
	case ready <- c:
		return true
	default:
		return false
	}
}
