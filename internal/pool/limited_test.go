package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// acquire returns a connection or fails the test.
func acquire(t *testing.T, p *Limited, address string) wire.Conn {
	t.Helper()
	c, err := p.Acquire(t.Context(), address, "")
	if err != nil {
		t.Fatalf("acquire: %v", err)
	}
	return c
}

// code returns the result code of an error, or 0 if it has none.
func code(err error) result.Code {
	if e, ok := result.As(err); ok {
		return e.Code
	}
	return 0
}

// closePool closes the pool so that its goroutines end before the synctest bubble does.
func closePool(t *testing.T, p *Limited) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := p.Close(ctx); err != nil {
		t.Fatalf("close: %v, left %+v", err, p.Stats())
	}
}

func TestReleasedConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		members := newFakeMembers()
		p := members.newPool(3)
		defer closePool(t, p)
		first := acquire(t, p, firstMember)
		p.Release(first)
		is.Equal(acquire(t, p, firstMember), first)
		is.Equal(members.openings, 1)
		p.Release(first)
	})
}

func TestConnectionThatIsNotCleanIsClosed(t *testing.T) {
	// A transaction left session state on its connection, or a response is still on the
	// wire. The next request must get another connection, or it would inherit the state or
	// read that response as its own.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakeMembers().newPool(3)
		defer closePool(t, p)
		first := acquire(t, p, firstMember)
		first.MarkUnusable()
		p.Release(first)
		second := acquire(t, p, firstMember)
		is.True(second != first)
		p.Release(second)
	})
}

func TestAcquireFailsAtDeadlineWhenAllAreInUse(t *testing.T) {
	// All connections of the share are in use and none is released. The request fails with
	// "too many connections" exactly at its deadline.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakeMembers().newPool(1)
		defer closePool(t, p)
		held := acquire(t, p, firstMember)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		_, err := p.Acquire(ctx, firstMember, "")
		is.Equal(code(err), result.TooManyConnections)
		is.Equal(time.Since(began), time.Second)
		p.Release(held)
	})
}
