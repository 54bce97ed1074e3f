package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lateDialer connects after a second, whatever becomes of the context.
type lateDialer struct{ remote chan net.Conn }

// Dial implements netio.Dialer.
func (d lateDialer) Dial(context.Context, string) (net.Conn, error) {
	time.Sleep(time.Second)
	near, far := net.Pipe()
	_ = far.SetReadDeadline(time.Now().Add(time.Minute))
	d.remote <- far
	return near, nil
}

// Guards against a connection that stays open because its dial ends after the client was closed.
func TestDialThatEndsAfterCloseLeavesNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := lateDialer{remote: make(chan net.Conn, 1)}
		c := NewClient("near", d)
		go func() { _ = c.Call(context.Background(), serverAddr, "slow", time.Duration(0), nil) }()
		time.Sleep(100 * time.Millisecond)
		c.Close()
		far := <-d.remote
		_, err := far.Read(make([]byte, 1))
		_ = far.Close()
		synctest.Wait()
		var timeout net.Error
		is.True(err != nil)
		is.True(!errors.As(err, &timeout))
	})
}
