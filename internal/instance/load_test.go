package instance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// outcome is what a caller was told about the outcome of a request.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAcknowledged
	outcomeDidNotRun
)

// load runs several kinds of callers on a cluster, and records what each was told.
type load struct {
	cluster *testCluster
	ctx     context.Context
	stop    context.CancelFunc
	callers sync.WaitGroup

	mu sync.Mutex
	// outcomes holds the reported outcome of the write of each key.
	outcomes   map[string]outcome
	violations []string
	reads      int
	writes     int
	// connections is the maximum number open at one time.
	connections int
}

// requestTimeout bounds each request of the load.
const requestTimeout = 6 * time.Second

// startLoad starts four callers of three kinds, each with its own seed.
func startLoad(tc *testCluster, seed uint64) *load {
	l := &load{cluster: tc, outcomes: make(map[string]outcome)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.callers.Go(l.sampleConnections)
	kinds := []func(*caller){(*caller).writeAndRoam, (*caller).pay, (*caller).transact, (*caller).writeAndRoam}
	for i, kind := range kinds {
		c := &caller{load: l, name: fmt.Sprintf("c%d", i), instance: i % len(testDomains), random: rand.New(rand.NewPCG(seed, uint64(i)))}
		l.callers.Go(func() {
			for l.ctx.Err() == nil {
				kind(c)
				time.Sleep(time.Duration(5+c.random.IntN(20)) * time.Millisecond)
			}
			c.disconnect()
		})
	}
	return l
}

// stopAndWait stops the callers and waits for them.
func (l *load) stopAndWait() {
	l.stop()
	l.callers.Wait()
}

func (l *load) recordOutcome(key string, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = o
	if o == outcomeAcknowledged {
		l.writes++
	}
}

func (l *load) addViolation(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, arguments...))
}

// caller is one session that moves between instances.
type caller struct {
	load     *load
	name     string
	instance int
	token    string
	conn     *pgx.Conn
	random   *rand.Rand
	count    int
}

func (c *caller) disconnect() {
	if c.conn != nil {
		c.conn.Close(context.Background())
		c.conn = nil
	}
}

// connected returns a connection to the caller's current instance, or nil.
func (c *caller) connected(ctx context.Context) *pgx.Conn {
	if c.conn != nil && !c.conn.IsClosed() {
		return c.conn
	}
	conn, err := pgx.ConnectConfig(ctx, c.load.cluster.config(c.instance, c.token))
	if err != nil {
		c.moveToAnother(false)
		return nil
	}
	c.conn = conn
	return conn
}

// moveToAnother moves the session to another instance, with or without its token.
func (c *caller) moveToAnother(keepToken bool) {
	if c.conn != nil && keepToken {
		c.token = token(c.conn)
	} else {
		c.token = ""
	}
	c.disconnect()
	c.instance = (c.instance + 1 + c.random.IntN(2)) % len(testDomains)
}

func (c *caller) nextKey(prefix string) string {
	c.count++
	return fmt.Sprintf("%s-%s-%d", prefix, c.name, c.count)
}

// exec runs one write and records the reported outcome.
func (c *caller) exec(key, sql string) outcome {
	ctx, cancel := context.WithTimeout(c.load.ctx, requestTimeout)
	defer cancel()
	conn := c.connected(ctx)
	if conn == nil {
		return outcomeDidNotRun
	}
	_, err := conn.Exec(ctx, sql)
	o := outcomeOf(err)
	c.load.recordOutcome(key, o)
	return o
}

func outcomeOf(err error) outcome {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return outcomeAcknowledged
	case errors.As(err, &e) && strings.HasPrefix(e.Code, "TD"):
		return outcomeDidNotRun
	default:
		return outcomeUnknown
	}
}

// writeAndRoam writes a row, moves to another instance, and reads the row back. An
// acknowledged write must be visible, and the answer must belong to the query.
func (c *caller) writeAndRoam() {
	key := c.nextKey("w")
	if c.exec(key, fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s', 'v%s')", key, key)) != outcomeAcknowledged {
		c.moveToAnother(false)
		return
	}
	c.moveToAnother(c.random.IntN(2) == 0)
	c.load.cluster.callLoadHook("roam.moved")
	tag := []string{staleReadTag, freshReadTag}[c.random.IntN(2)]
	ctx, cancel := context.WithTimeout(c.load.ctx, requestTimeout)
	defer cancel()
	conn := c.connected(ctx)
	if conn == nil {
		return
	}
	var k, v string
	err := conn.QueryRow(ctx, "SELECT k, v FROM kv WHERE k = $1"+tag, key).Scan(&k, &v)
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		c.load.addViolation("own write of %s not visible at instance %d%s", key, c.instance, tag)
	case err == nil && (k != key || v != "v"+key):
		c.load.addViolation("answer to another query: asked for %s, got %s=%s", key, k, v)
	case err == nil:
		c.load.mu.Lock()
		c.load.reads++
		c.load.mu.Unlock()
	}
}

// pay sends a request that must not run twice, and repeats it under the same key while its
// outcome is unknown. Each attempt writes a different row, so that checkInvariants detects
// if more than one ran.
func (c *caller) pay() {
	key := c.nextKey("p")
	for attempt := range 3 {
		row := fmt.Sprintf("%s-try%d", key, attempt)
		sql := fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s', 'paid') /*request='fee-payment',key='%s'*/", row, key)
		if c.exec(row, sql) != outcomeUnknown {
			return
		}
		c.moveToAnother(false)
	}
}

// transact writes two rows in one transaction: both or none must be stored.
func (c *caller) transact() {
	ctx, cancel := context.WithTimeout(c.load.ctx, requestTimeout)
	defer cancel()
	conn := c.connected(ctx)
	if conn == nil {
		return
	}
	key := c.nextKey("t")
	tx, err := conn.Begin(ctx)
	if err != nil {
		c.moveToAnother(false)
		return
	}
	for _, half := range []string{"a", "b"} {
		c.load.cluster.callLoadHook("transaction.open")
		if _, err := tx.Exec(ctx, fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s%s', '1')", key, half)); err != nil {
			c.load.recordOutcome(key+"a", outcomeDidNotRun)
			_ = tx.Rollback(ctx)
			c.moveToAnother(false)
			return
		}
	}
	c.load.cluster.callLoadHook("transaction.commit")
	c.load.recordOutcome(key+"a", outcomeOf(tx.Commit(ctx)))
	c.moveToAnother(false)
}
