package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/topazrock/topazrock/internal/netio"
)

var _ netio.Network = (*Host)(nil)

const (
	hostA   = "10.0.0.1"
	hostB   = "10.0.0.2"
	addrB   = hostB + ":5432"
	latency = 2 * time.Millisecond
)

// pair returns a network with one connection from host A to host B.
func pair(t *testing.T) (*Network, net.Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	n := New()
	n.SetLatency(hostA, hostB, latency)
	l, err := n.Host(hostB).Listen(addrB)
	is.NoErr(err)
	a, err := n.Host(hostA).Dial(t.Context(), addrB)
	is.NoErr(err)
	b, err := l.Accept()
	is.NoErr(err)
	return n, a, b
}

func read(c net.Conn) (string, error) {
	buf := make([]byte, 64)
	k, err := c.Read(buf)
	return string(buf[:k]), err
}

func TestBytesTakeTheLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b := pair(t)
		start := time.Now()
		_, err := a.Write([]byte("x"))
		is.NoErr(err)
		is.NoErr(a.Close())
		s, err := read(b)
		is.NoErr(err)
		is.Equal(s, "x")
		is.Equal(time.Since(start), latency)
		_, err = read(b)
		is.Equal(err, io.EOF)
		_, err = b.Write([]byte("y"))
		is.True(errors.Is(err, syscall.EPIPE))
	})
}

func TestReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, _, b := pair(t)
		is.NoErr(b.SetReadDeadline(time.Now().Add(time.Second)))
		start := time.Now()
		_, err := read(b)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(start), time.Second)
	})
}

func TestWriteBlocksAtTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, _ := pair(t)
		is.NoErr(a.SetWriteDeadline(time.Now().Add(time.Second)))
		k, err := a.Write(make([]byte, pipeBound+1))
		is.Equal(k, pipeBound)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}

// The caller sees nothing while the hosts are cut, not even an error: a read
// waits, a dial hangs until its context ends. After the cut is healed the bytes
// written in between arrive, because TCP sends them again.
func TestCutHoldsBytesAndDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := pair(t)
		n.CutOneWay(hostA, hostB)
		_, err := a.Write([]byte("x"))
		is.NoErr(err)
		is.NoErr(b.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = read(b)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = n.Host(hostA).Dial(ctx, addrB)
		is.True(errors.Is(err, context.DeadlineExceeded))
		n.Heal(hostA, hostB)
		is.NoErr(b.SetReadDeadline(time.Time{}))
		s, err := read(b)
		is.NoErr(err)
		is.Equal(s, "x")
	})
}

// The caller of an old connection sees nothing for ever, while a new dial works,
// because something between the two ends has lost track of the old one.
func TestSilenceKeepsNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := pair(t)
		n.Silence(hostA, hostB)
		_, err := a.Write([]byte("x"))
		is.NoErr(err)
		is.NoErr(b.SetReadDeadline(time.Now().Add(time.Hour)))
		_, err = read(b)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_, err = n.Host(hostA).Dial(t.Context(), addrB)
		is.NoErr(err)
	})
}

// The caller's read fails with a reset and its dial is refused, because the
// process at the other end died. The dead process cannot use the network again;
// its successor on the same host can.
func TestKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, _ := pair(t)
		dead := n.Host(hostB)
		n.Kill(hostB)
		_, err := read(a)
		is.True(errors.Is(err, syscall.ECONNRESET))
		_, err = n.Host(hostA).Dial(t.Context(), addrB)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		_, err = dead.Listen(addrB)
		is.True(err != nil)
		_, err = n.Host(hostB).Listen(addrB)
		is.NoErr(err)
	})
}

// The caller connects to a frozen process, because its kernel accepts, but gets
// no answer until the process is thawed; then all bytes arrive.
func TestFreezeAndThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := pair(t)
		n.Freeze(hostB)
		_, err := n.Host(hostA).Dial(t.Context(), addrB)
		is.NoErr(err)
		_, err = a.Write([]byte("x"))
		is.NoErr(err)
		time.AfterFunc(time.Minute, func() { n.Thaw(hostB) })
		start := time.Now()
		_, err = read(b)
		is.NoErr(err)
		is.Equal(time.Since(start), time.Minute)
	})
}

// The caller on one side of a partition reads nothing until the sides are joined,
// because all pairs of hosts are cut at one moment.
func TestPartitionAndJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := pair(t)
		n.Partition([]string{hostA}, []string{hostB, "10.0.0.3"})
		_, err := a.Write([]byte("x"))
		is.NoErr(err)
		time.AfterFunc(time.Minute, func() { n.Join([]string{hostA}, []string{hostB, "10.0.0.3"}) })
		start := time.Now()
		_, err = read(b)
		is.NoErr(err)
		is.Equal(time.Since(start), time.Minute)
	})
}

// A close with bytes unread resets the connection: the other end reads what has arrived and no
// more. Behind a half-close it goes on sending.
func TestCloseWithUnreadBytesResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b := pair(t)
		_, err := a.Write([]byte("unread"))
		is.NoErr(err)
		_, err = b.Write([]byte("early"))
		is.NoErr(err)
		time.Sleep(latency)
		_, err = b.Write([]byte("late"))
		is.NoErr(err)
		is.NoErr(b.Close())
		s, err := read(a)
		is.NoErr(err)
		is.Equal(s, "early")
		_, err = read(a)
		is.True(errors.Is(err, syscall.ECONNRESET))

		_, a, b = pair(t)
		is.NoErr(b.(interface{ CloseWrite() error }).CloseWrite())
		_, err = read(a)
		is.Equal(err, io.EOF)
		_, err = a.Write([]byte("x"))
		is.NoErr(err)
		s, err = read(b)
		is.NoErr(err)
		is.Equal(s, "x")
		is.NoErr(b.Close())
	})
}
