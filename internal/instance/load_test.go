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

// fate is what a caller was told of one request.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeAcknowledged
	outcomeDidNotRun
)

// load is a mix of callers on a bed, and what each was told.
type load struct {
	cluster *testCluster
	ctx     context.Context
	stop    context.CancelFunc
	callers sync.WaitGroup

	mu sync.Mutex
	// fates holds what was told of the write of each key.
	outcomes   map[string]outcome
	violations []string
	reads      int
	writes     int
	// connections is the highest number open at one moment.
	connections int
}

// requestTimeout bounds each request of the load.
const requestTimeout = 6 * time.Second

// startLoad starts two callers of each kind, each with a seed of its own.
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

// end stops the callers and waits for them.
func (l *load) stopAndWait() {
	l.stop()
	l.callers.Wait()
}

func (l *load) recordOutcome(key string, f outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = f
	if f == outcomeAcknowledged {
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

// connected returns a connection to the caller's present instance, or nil.
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

// move takes the session to another instance, with its token or without.
func (c *caller) moveToAnother(carry bool) {
	if c.conn != nil && carry {
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

// exec runs one write and notes what was told of it.
func (c *caller) exec(key, sql string) outcome {
	ctx, cancel := context.WithTimeout(c.load.ctx, requestTimeout)
	defer cancel()
	conn := c.connected(ctx)
	if conn == nil {
		return outcomeDidNotRun
	}
	_, err := conn.Exec(ctx, sql)
	f := outcomeOf(err)
	c.load.recordOutcome(key, f)
	return f
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

// writeAndRoam writes a row, moves, and reads it back: an acknowledged write
// must be seen, and every answer must be that of its own question.
func (c *caller) writeAndRoam() {
	key := c.nextKey("w")
	if c.exec(key, fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s', 'v%s')", key, key)) != outcomeAcknowledged {
		c.moveToAnother(false)
		return
	}
	c.moveToAnother(c.random.IntN(2) == 0)
	c.load.cluster.callLoadHook("roam.moved")
	tag := []string{agedRead, freshRead}[c.random.IntN(2)]
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
		c.load.addViolation("stale own read of %s at instance %d%s", key, c.instance, tag)
	case err == nil && (k != key || v != "v"+key):
		c.load.addViolation("answer of another: asked %s, got %s=%s", key, k, v)
	case err == nil:
		c.load.mu.Lock()
		c.load.reads++
		c.load.mu.Unlock()
	}
}

// pay sends a request that must not be repeated, again and again under one key
// while its outcome is unknown. Each arrival would leave a row of its own.
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

// transact writes two rows in one transaction: both or none.
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
