package memnet

import (
	"io"
	"net"
	"syscall"
	"time"
)

// conn is one end of a connection; it implements net.Conn.
type conn struct {
	net           *Network
	local, remote *net.TCPAddr
	in, out       *pipe
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn. It blocks only when the pipe's bound is reached.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn. The other end reads what was written, then EOF. With bytes
// unread it resets the connection, as TCP does: what is on its way to the other end is lost.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.in.readerGone {
		return opError("close", net.ErrClosed)
	}
	if c.in.size > 0 {
		c.out.loseUndelivered()
		c.end(syscall.ECONNRESET)
		return nil
	}
	c.end(io.EOF)
	return nil
}

// CloseWrite ends what this end sends, as that of a net.TCPConn does: the other end reads what
// was written, then EOF, and may still send.
func (c *conn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.out.writerGone {
		return opError("close", net.ErrClosed)
	}
	c.endWrites(io.EOF)
	return nil
}

// reset ends the connection as the death of this end's process does: what was
// not delivered is lost. Caller holds the mutex.
func (c *conn) reset() {
	if c.in.readerGone {
		return
	}
	c.out.chunks, c.out.size = nil, 0
	c.end(syscall.ECONNRESET)
}

// endWrites sends the end of the stream. Caller holds the mutex.
func (c *conn) endWrites(reason error) {
	c.out.send(chunk{end: reason})
	c.out.writerGone = true
	c.out.cond.Broadcast()
}

func (c *conn) end(reason error) {
	if !c.out.writerGone || reason != io.EOF {
		c.endWrites(reason)
	}
	c.in.readerGone = true
	delete(c.net.conns, c)
	c.in.cond.Broadcast()
	c.out.cond.Broadcast()
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.in.setDeadline(&c.in.readDeadline, t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.out.setDeadline(&c.out.writeDeadline, t)
}

func (p *pipe) setDeadline(field *time.Time, t time.Time) error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	*field = t
	p.cond.Broadcast()
	return nil
}
