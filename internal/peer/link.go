package peer

import (
	"context"
	"net"
	"sync"
)

// link is the way to one peer. Calls that need a new connection share one dial,
// and each waits for it no longer than its own context allows: a peer that
// cannot be reached must not hold up a call with a short deadline.
type link struct {
	mu      sync.Mutex
	channel *channel
	// dialling is not nil while a dial runs.
	dialling *dialling
}

// dialling is a dial under way.
type dialling struct {
	// done is closed at the end, after err was set.
	done chan struct{}
	err  error
}

// begin returns a channel on which one call was counted.
func (l *link) begin(ctx context.Context, dial func() (net.Conn, error)) (*channel, error) {
	for {
		c, d := l.current(dial)
		if c != nil {
			return c, nil
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *link) current(dial func() (net.Conn, error)) (*channel, *dialling) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.channel != nil && l.channel.begin() {
		return l.channel, nil
	}
	if l.dialling == nil {
		l.dialling = &dialling{done: make(chan struct{})}
		go l.dial(l.dialling, dial)
	}
	return nil, l.dialling
}

func (l *link) dial(d *dialling, dial func() (net.Conn, error)) {
	conn, err := dial()
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(d.done)
	l.dialling = nil
	d.err = err
	if err == nil {
		l.channel = newChannel(conn)
	}
}

func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.channel != nil && !disconnected(l.channel.conn)
}

func (l *link) close() {
	l.mu.Lock()
	c := l.channel
	l.channel = nil
	l.mu.Unlock()
	if c != nil {
		c.conn.Close()
	}
}
