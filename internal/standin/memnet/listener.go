package memnet

import "net"

// listener implements net.Listener.
type listener struct {
	net     *Network
	address string
	host    string
	backlog []*conn
	closed  bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for {
		switch {
		case l.closed:
			return nil, opError("accept", net.ErrClosed)
		case len(l.backlog) > 0 && !l.net.frozen[l.host]:
			c := l.backlog[0]
			l.backlog = l.backlog[1:]
			return c, nil
		default:
			l.net.changed.Wait()
		}
	}
}

// Close implements net.Listener. Connections that are not yet accepted are reset.
func (l *listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.closed {
		return opError("close", net.ErrClosed)
	}
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	l.closed = true
	delete(l.net.listeners, l.address)
	for _, c := range l.backlog {
		c.reset()
	}
	l.backlog = nil
	l.net.wakeAll()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return tcpAddr(l.address) }
