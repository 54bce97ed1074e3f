package pgcontrol

import (
	"context"
	"net"
	"sync"
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
	cancel context.CancelFunc
	// done is closed at the end, after control and err were set.
	done    chan struct{}
	control *control
	err     error

	// began is when the handshake began.
	began time.Time

	mu sync.Mutex
	// standing says that the network connection is open; users counts the calls
	// that wait.
	standing bool
	users    int
}

// begin starts a handshake with the member at an address.
func (d *Dialer) begin(address string, cfg *pgconn.Config) *handshake {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	h := &handshake{cancel: cancel, done: make(chan struct{}), began: time.Now()}
	d.count[address]++
	c := &control{}
	cfg.DialFunc = func(ctx context.Context, _, _ string) (net.Conn, error) {
		// pgconn dials again to cancel a call whose context ended. The control
		// calls need no cancel, and to a dead member it would only add a dial.
		if c.raw != nil {
			return nil, errOneDial
		}
		raw, err := d.network.Dial(ctx, address)
		if err == nil {
			h.stand()
		}
		c.raw = raw
		return raw, err
	}
	go func() {
		defer cancel()
		c.conn, h.err = pgconn.ConnectConfig(ctx, cfg)
		h.control = c
		d.finish(address, h)
	}()
	return h
}

func (h *handshake) stand() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standing = true
}

// join returns the handshake under way with a member, or a new one.
func (d *Dialer) join(address string) (*handshake, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.underWay[address]
	if h == nil || d.count[address] < maxHandshakes && time.Since(h.began) > secondAfter {
		cfg, err := d.config(address)
		if err != nil {
			return nil, err
		}
		h = d.begin(address, cfg)
		d.underWay[address] = h
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users++
	return h, nil
}

// take gives the connection of a finished handshake to one caller. The others
// begin anew.
func (d *Dialer) take(address string, h *handshake) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.underWay[address] != h {
		return false
	}
	delete(d.underWay, address)
	return true
}

// leave counts a call that gave up waiting. If the handshake has finished with
// no other call waiting, the connection is closed.
func (d *Dialer) leave(address string, h *handshake) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users--
	if h.users > 0 || d.underWay[address] != h {
		return
	}
	select {
	case <-h.done:
		delete(d.underWay, address)
		_ = h.control.Close()
	default:
		if !h.standing {
			h.cancel()
		}
	}
}

// finish tells the waiting calls. A connection that nobody waits for is closed.
func (d *Dialer) finish(address string, h *handshake) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.mu.Lock()
	unwanted := h.users == 0
	h.mu.Unlock()
	d.count[address]--
	current := d.underWay[address] == h
	if current && (h.err != nil || unwanted) {
		delete(d.underWay, address)
	}
	if h.err == nil && (unwanted || !current) {
		_ = h.control.Close()
	}
	close(h.done)
}
