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

// connectHosts returns a network with one open connection from host A to host B.
func connectHosts(t *testing.T) (*Network, net.Conn, net.Conn) {
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

func TestLatencyDelaysBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b := connectHosts(t)
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
		_, _, b := connectHosts(t)
		is.NoErr(b.SetReadDeadline(time.Now().Add(time.Second)))
		start := time.Now()
		_, err := read(b)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(start), time.Second)
	})
}

func TestWriteBlocksWhenPipeIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, _ := connectHosts(t)
		is.NoErr(a.SetWriteDeadline(time.Now().Add(time.Second)))
		k, err := a.Write(make([]byte, pipeCapacity+1))
		is.Equal(k, pipeCapacity)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	})
}

// While a link is cut, neither reads nor dials fail: a read waits and a dial hangs until
// its context ends. After the cut is healed, bytes written in the meantime arrive, as
// TCP retransmits them.
func TestCutHoldsBytesAndDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := connectHosts(t)
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

// A connection whose state is lost between the two ends (for example in a NAT device)
// never delivers anything again, while a new dial works.
func TestSilenceDoesNotAffectNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := connectHosts(t)
		n.BlackholeConnections(hostA, hostB)
		_, err := a.Write([]byte("x"))
		is.NoErr(err)
		is.NoErr(b.SetReadDeadline(time.Now().Add(time.Hour)))
		_, err = read(b)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_, err = n.Host(hostA).Dial(t.Context(), addrB)
		is.NoErr(err)
	})
}

// After the process at the other end is killed, reads fail with a reset and dials are
// refused. The killed process cannot use the network again; a new process on the same
// host can.
func TestKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, _ := connectHosts(t)
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

// Dials to a frozen process succeed, because its kernel accepts, but no bytes are
// delivered until it is thawed; then all of them arrive.
func TestFreezeAndThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := connectHosts(t)
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

// During a partition nothing is delivered between the sides; HealPartition delivers the bytes
// that were held back.
func TestPartitionAndJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, a, b := connectHosts(t)
		n.Partition([]string{hostA}, []string{hostB, "10.0.0.3"})
		_, err := a.Write([]byte("x"))
		is.NoErr(err)
		time.AfterFunc(time.Minute, func() { n.HealPartition([]string{hostA}, []string{hostB, "10.0.0.3"}) })
		start := time.Now()
		_, err = read(b)
		is.NoErr(err)
		is.Equal(time.Since(start), time.Minute)
	})
}

// Closing a connection with unread bytes resets it: the other end reads only what has
// already arrived. After a half-close the other end can still send.
func TestCloseWithUnreadBytesResetsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, a, b := connectHosts(t)
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

		_, a, b = connectHosts(t)
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
