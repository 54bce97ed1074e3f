package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Errors of the checks on an idle connection.
var (
	errClosedByMember = errors.New("upstream: member closed the connection")
	errUnexpected     = errors.New("upstream: bytes on an idle connection")
)

var (
	encodedSync      = mustEncode(&pgproto3.Sync{})
	encodedTerminate = mustEncode(&pgproto3.Terminate{})
)

// Check implements wire.Conn. It looks at the socket without a round trip, and
// says nothing about a connection that has gone silent.
func (c *Conn) Check() error {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var found error
	err = raw.Read(func(fd uintptr) bool {
		found = peek(int(fd))
		return true
	})
	return errors.Join(err, found)
}

func peek(fd int) error {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil
	case err != nil:
		return err
	case n == 0:
		return errClosedByMember
	default:
		return errUnexpected
	}
}

// Probe implements wire.Conn.
func (c *Conn) Probe(ctx context.Context) error {
	if d, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(d); err != nil {
			return err
		}
		defer c.SetDeadline(time.Time{})
	}
	if err := c.Send(encodedSync, 1); err != nil {
		return err
	}
	for c.pending > 0 {
		if _, err := c.Receive(); err != nil {
			return err
		}
	}
	return nil
}

// Shutdown implements wire.Conn: it returns nil once the member has closed its
// end. The member counts the connection until then, so it must not be counted
// as gone when close was merely called.
func (c *Conn) Shutdown(ctx context.Context) error {
	defer c.Close()
	c.dirty = true
	if d, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(d); err != nil {
			return err
		}
	}
	if _, err := c.net.Write(encodedTerminate); err != nil {
		return err
	}
	var rest [512]byte
	for {
		_, err := c.net.Read(rest[:])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
