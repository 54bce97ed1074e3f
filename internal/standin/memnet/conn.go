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

// Write implements net.Conn. It blocks only while the pipe is full.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn. The other end reads what was written, then EOF. If this end
// has unread bytes, Close resets the connection, as TCP does: bytes still in flight to
// the other end are lost.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.in.readerClosed {
		return opError("close", net.ErrClosed)
	}
	if c.in.size > 0 {
		c.out.dropUndelivered()
		c.terminate(syscall.ECONNRESET)
		return nil
	}
	c.terminate(io.EOF)
	return nil
}

// CloseWrite closes the sending direction, like net.TCPConn.CloseWrite: the other end
// reads what was written, then EOF, and can still send.
func (c *conn) CloseWrite() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.out.writerClosed {
		return opError("close", net.ErrClosed)
	}
	c.endStream(io.EOF)
	return nil
}

// reset ends the connection as if this end's process had died: undelivered bytes are
// lost. c.net.mu must be held.
func (c *conn) reset() {
	if c.in.readerClosed {
		return
	}
	c.out.chunks, c.out.size = nil, 0
	c.terminate(syscall.ECONNRESET)
}

// endStream sends the end of the stream. c.net.mu must be held.
func (c *conn) endStream(reason error) {
	c.out.send(chunk{endErr: reason})
	c.out.writerClosed = true
	c.out.cond.Broadcast()
}

func (c *conn) terminate(reason error) {
	if !c.out.writerClosed || reason != io.EOF {
		c.endStream(reason)
	}
	c.in.readerClosed = true
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
