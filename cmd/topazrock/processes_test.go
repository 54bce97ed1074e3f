package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
)

// shutdownState is what a caller sees whose instance shuts down as planned.
const shutdownState = "57P01"

// Instances are separate processes. What a caller wrote through one is read
// through another; an instance that gets SIGTERM under load cuts no request; one
// that gets SIGKILL in the middle of a transaction leaves nothing of it behind,
// and the row that it had locked can be written again.
func TestSeparateProcesses(t *testing.T) {
	p := startProcesses(t)
	t.Run("write through one, read through another", p.testRoam)
	t.Run("SIGSTOP of the primary moves the lead", p.testStop)
	t.Run("SIGTERM cuts no request", p.testTerminate)
	t.Run("SIGKILL rolls back", p.testKill)
}

func (p *processes) testRoam(*testing.T) {
	ctx := context.Background()
	writer, reader := p.mustConnect(0), p.mustConnect(1)
	_, err := writer.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('roam', '1')")
	p.is.NoErr(err)
	var v string
	err = reader.QueryRow(ctx, "SELECT v FROM kv WHERE k = 'roam' /*request='application'*/").Scan(&v)
	p.is.NoErr(err)
	p.is.Equal(v, "1")
}

// testStop freezes the primary's process while callers write. Writes go on at a
// successor; when the old primary goes on, it has to follow, and every
// acknowledged row is there.
func (p *processes) testStop(t *testing.T) {
	ctx := context.Background()
	primary := p.running[1]
	writer := p.mustConnect(2)
	var acknowledged []string
	write := func(key string) bool {
		_, err := writer.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, '1')", key)
		if err == nil {
			acknowledged = append(acknowledged, key)
		}
		return err == nil
	}
	p.is.True(write("before"))
	p.signal(primary, syscall.SIGSTOP)
	attempt := 0
	p.eventually("a write goes through without the old primary", func() bool {
		attempt++
		return write(fmt.Sprintf("stopped-%d", attempt))
	})
	p.signal(primary, syscall.SIGCONT)
	for i := range 20 {
		p.is.True(write(fmt.Sprintf("resumed-%d", i)))
	}
	for _, key := range acknowledged {
		var v string
		for i := range processDomains {
			err := p.mustConnect(i).QueryRow(ctx, "SELECT v FROM kv WHERE k = $1 /*request='application'*/", key).Scan(&v)
			p.is.NoErr(err)
		}
	}
}

// testTerminate stops instance 0 while callers write through it. Every request
// either is answered or was never taken: the only error a caller may see is the
// notice of the shutdown, and each acknowledged row is there.
func (p *processes) testTerminate(t *testing.T) {
	var acknowledged sync.Map
	var cut atomic.Int64
	var callers sync.WaitGroup
	begun := make(chan struct{}, 8)
	for i := range 8 {
		c := p.mustConnect(0)
		callers.Go(func() {
			for n := 0; ; n++ {
				key := fmt.Sprintf("term-%d-%d", i, n)
				_, err := c.Exec(context.Background(), "INSERT INTO kv (k, v) VALUES ($1, '1')", key)
				if err == nil {
					acknowledged.Store(key, true)
				} else if !isShutdown(err) {
					t.Logf("request was cut: %v", err)
					cut.Add(1)
				}
				if n == 5 {
					begun <- struct{}{}
				}
				if err != nil {
					return
				}
			}
		})
	}
	for range 8 {
		<-begun
	}
	p.signal(p.instance(0), syscall.SIGTERM)
	callers.Wait()
	p.is.NoErr(p.instance(0).Wait())
	p.is.Equal(cut.Load(), int64(0))
	reader := p.mustConnect(1)
	acknowledged.Range(func(key, _ any) bool {
		var v string
		p.is.NoErr(reader.QueryRow(context.Background(), "SELECT v FROM kv WHERE k = $1 /*request='application'*/", key).Scan(&v))
		return true
	})
}

// isShutdown reports whether the instance said that it shuts down, or had
// closed the connection before the request was written.
func isShutdown(err error) bool {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code == shutdownState
	}
	return pgconn.SafeToRetry(err)
}

// testKill kills instance 1 while a transaction is open through it.
func (p *processes) testKill(t *testing.T) {
	ctx := context.Background()
	c := p.mustConnect(1)
	tx, err := c.Begin(ctx)
	p.is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('killed', 'lost')")
	p.is.NoErr(err)
	p.signal(p.instance(1), syscall.SIGKILL)
	_ = p.instance(1).Wait()
	_, err = tx.Exec(ctx, "SELECT 1")
	p.is.True(err != nil)
	other := p.mustConnect(2)
	p.eventually("the row can be written again", func() bool {
		_, err := other.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('killed', 'kept')")
		if err != nil {
			t.Logf("not yet: %v", err)
		}
		return err == nil
	})
	var v string
	err = other.QueryRow(ctx, "SELECT v FROM kv WHERE k = 'killed' /*request='application'*/").Scan(&v)
	p.is.NoErr(err)
	p.is.Equal(v, "kept")
}
