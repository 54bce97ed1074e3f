package peer

import (
	"context"
	"net"
	"sync"
)

// link manages the connection to one peer. Calls that need a new connection share one
// dial, and each waits for it only as long as its own context allows: an unreachable peer
// must not block a call with a short deadline.
type link struct {
	mu         sync.Mutex
	connection *connection
	// pending is the dial in progress; nil if there is none.
	pending *pendingDial
	// closed reports that the client was closed.
	closed bool
}

// pendingDial is a dial in progress.
type pendingDial struct {
	// done is closed when the dial has ended, after err is set.
	done chan struct{}
	err  error
}

// beginCall returns a connection on which one call has been counted.
func (l *link) beginCall(ctx context.Context, dial func() (net.Conn, error)) (*connection, error) {
	for {
		c, d := l.connectionOrDial(dial)
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

func (l *link) connectionOrDial(dial func() (net.Conn, error)) (*connection, *pendingDial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != nil && l.connection.beginCall() {
		return l.connection, nil
	}
	if l.pending == nil {
		l.pending = &pendingDial{done: make(chan struct{})}
		go l.dial(l.pending, dial)
	}
	return nil, l.pending
}

func (l *link) dial(d *pendingDial, dial func() (net.Conn, error)) {
	conn, err := dial()
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(d.done)
	l.pending = nil
	if err == nil && l.closed {
		conn.Close()
		err = net.ErrClosed
	}
	d.err = err
	if err == nil {
		l.connection = newConnection(conn)
	}
}

func (l *link) connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connection != nil && !isDisconnected(l.connection.rpc)
}

func (l *link) close() {
	l.mu.Lock()
	c := l.connection
	l.connection = nil
	l.closed = true
	l.mu.Unlock()
	if c != nil {
		c.rpc.Close()
	}
}
