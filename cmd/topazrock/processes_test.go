package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
)

// sqlStateAdminShutdown is the SQLSTATE that callers receive when their instance
// shuts down as planned.
const sqlStateAdminShutdown = "57P01"

// Instances run as separate processes. Rows written through one instance must be
// readable through another. SIGTERM under load must not interrupt requests. SIGKILL
// during a transaction must roll the transaction back and release its row lock. If
// the primary is paused, writes must continue at its successor.
func TestSeparateProcesses(t *testing.T) {
	d := startDeployment(t)
	t.Run("write through one, read through another", d.testReadThroughOtherInstance)
	t.Run("SIGSTOP of the primary causes a failover", d.testPausedPrimary)
	t.Run("SIGTERM interrupts no request", d.testInstanceSIGTERM)
	t.Run("SIGKILL rolls back", d.testInstanceSIGKILL)
	t.Run("SIGHUP during a drain cuts no transaction", d.testInstanceSIGHUP)
}

func (d *testDeployment) testReadThroughOtherInstance(*testing.T) {
	ctx := context.Background()
	writer, reader := d.mustConnect(0), d.mustConnect(1)
	_, err := writer.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('roam', '1')")
	d.is.NoErr(err)
	var v string
	err = reader.QueryRow(ctx, "SELECT v FROM kv WHERE k = 'roam' /*request='application'*/").Scan(&v)
	d.is.NoErr(err)
	d.is.Equal(v, "1")
}

// testPausedPrimary pauses the primary's process while a caller writes. Writes must
// continue at a successor. When the old primary resumes, it must become a replica,
// and no acknowledged row may be lost.
func (d *testDeployment) testPausedPrimary(t *testing.T) {
	ctx := context.Background()
	primary := d.processes[1]
	writer := d.mustConnect(2)
	var acknowledged []string
	write := func(key string) bool {
		_, err := writer.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, '1')", key)
		if err == nil {
			acknowledged = append(acknowledged, key)
		}
		return err == nil
	}
	d.is.True(write("before"))
	d.sendSignal(primary, syscall.SIGSTOP)
	attempt := 0
	d.waitUntil("a write goes through without the old primary", func() bool {
		attempt++
		return write(fmt.Sprintf("stopped-%d", attempt))
	})
	d.sendSignal(primary, syscall.SIGCONT)
	for i := range 20 {
		d.is.True(write(fmt.Sprintf("resumed-%d", i)))
	}
	for _, key := range acknowledged {
		var v string
		for i := range failureDomains {
			err := d.mustConnect(i).QueryRow(ctx, "SELECT v FROM kv WHERE k = $1 /*request='application'*/", key).Scan(&v)
			d.is.NoErr(err)
		}
	}
}

// testInstanceSIGTERM terminates instance 0 while callers write through it. Every
// request must either be answered or not be accepted at all: callers may see no
// error other than the shutdown notice, and no acknowledged row may be lost.
func (d *testDeployment) testInstanceSIGTERM(t *testing.T) {
	var acknowledged sync.Map
	var interrupted atomic.Int64
	var callers sync.WaitGroup
	begun := make(chan struct{}, 8)
	for i := range 8 {
		c := d.mustConnect(0)
		callers.Go(func() {
			for n := 0; ; n++ {
				key := fmt.Sprintf("term-%d-%d", i, n)
				_, err := c.Exec(context.Background(), "INSERT INTO kv (k, v) VALUES ($1, '1')", key)
				if err == nil {
					acknowledged.Store(key, true)
				} else if !isShutdown(err) {
					t.Logf("request was interrupted: %v", err)
					interrupted.Add(1)
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
	d.sendSignal(d.instanceProcess(0), syscall.SIGTERM)
	callers.Wait()
	d.is.NoErr(d.instanceProcess(0).Wait())
	d.is.Equal(interrupted.Load(), int64(0))
	reader := d.mustConnect(1)
	acknowledged.Range(func(key, _ any) bool {
		var v string
		d.is.NoErr(reader.QueryRow(context.Background(), "SELECT v FROM kv WHERE k = $1 /*request='application'*/", key).Scan(&v))
		return true
	})
}

// isShutdown reports whether err is the shutdown notice, or shows that the instance
// had closed the connection before the request was written.
func isShutdown(err error) bool {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code == sqlStateAdminShutdown
	}
	return pgconn.SafeToRetry(err)
}

// testInstanceSIGKILL kills instance 1 while it has an open transaction.
func (d *testDeployment) testInstanceSIGKILL(t *testing.T) {
	ctx := context.Background()
	c := d.mustConnect(1)
	tx, err := c.Begin(ctx)
	d.is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('killed', 'lost')")
	d.is.NoErr(err)
	d.sendSignal(d.instanceProcess(1), syscall.SIGKILL)
	_ = d.instanceProcess(1).Wait()
	_, err = tx.Exec(ctx, "SELECT 1")
	d.is.True(err != nil)
	other := d.mustConnect(2)
	d.waitUntil("the row can be written again", func() bool {
		_, err := other.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('killed', 'kept')")
		if err != nil {
			t.Logf("not yet: %v", err)
		}
		return err == nil
	})
	var v string
	err = other.QueryRow(ctx, "SELECT v FROM kv WHERE k = 'killed' /*request='application'*/").Scan(&v)
	d.is.NoErr(err)
	d.is.Equal(v, "kept")
}

// testInstanceSIGHUP asks instance 2 to reload its settings while it drains. Guards against a
// process that is ended by the signal, which it no longer handles.
func (d *testDeployment) testInstanceSIGHUP(*testing.T) {
	ctx := context.Background()
	tx, err := d.mustConnect(2).Begin(ctx)
	d.is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('hangup', '1')")
	d.is.NoErr(err)
	d.sendSignal(d.instanceProcess(2), syscall.SIGTERM)
	d.waitUntil("instance drains", func() bool { return d.httpStatus(d.admins[2], "/readyz") != http.StatusOK })
	d.sendSignal(d.instanceProcess(2), syscall.SIGHUP)
	d.is.NoErr(tx.Commit(ctx))
	d.is.NoErr(d.instanceProcess(2).Wait())
}
