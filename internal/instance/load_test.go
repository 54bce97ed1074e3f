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
type fate int

const (
	fateUnknown fate = iota
	fateAcknowledged
	fateDidNotRun
)

// load is a mix of callers on a bed, and what each was told.
type load struct {
	bed  *bed
	ctx  context.Context
	stop context.CancelFunc
	wait sync.WaitGroup

	mu sync.Mutex
	// fates holds what was told of the write of each key.
	fates  map[string]fate
	faults []string
	reads  int
	writes int
	// connections is the highest number open at one moment.
	connections int
}

// requestTimeout bounds each request of the load.
const requestTimeout = 6 * time.Second

// startLoad starts two callers of each kind, each with a seed of its own.
func startLoad(b *bed, seed uint64) *load {
	l := &load{bed: b, fates: make(map[string]fate)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.wait.Go(l.sampleConnections)
	kinds := []func(*caller){(*caller).writeAndRoam, (*caller).pay, (*caller).transact, (*caller).writeAndRoam}
	for i, kind := range kinds {
		c := &caller{load: l, name: fmt.Sprintf("c%d", i), at: i % len(bedDomains), random: rand.New(rand.NewPCG(seed, uint64(i)))}
		l.wait.Go(func() {
			for l.ctx.Err() == nil {
				kind(c)
				time.Sleep(time.Duration(5+c.random.IntN(20)) * time.Millisecond)
			}
			c.leave()
		})
	}
	return l
}

// end stops the callers and waits for them.
func (l *load) end() {
	l.stop()
	l.wait.Wait()
}

func (l *load) note(key string, f fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fates[key] = f
	if f == fateAcknowledged {
		l.writes++
	}
}

func (l *load) fault(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, arguments...))
}

// caller is one session that moves between instances.
type caller struct {
	load   *load
	name   string
	at     int
	token  string
	conn   *pgx.Conn
	random *rand.Rand
	count  int
}

func (c *caller) leave() {
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
	conn, err := pgx.ConnectConfig(ctx, c.load.bed.config(c.at, c.token))
	if err != nil {
		c.move(false)
		return nil
	}
	c.conn = conn
	return conn
}

// move takes the session to another instance, with its token or without.
func (c *caller) move(carry bool) {
	if c.conn != nil && carry {
		c.token = token(c.conn)
	} else {
		c.token = ""
	}
	c.leave()
	c.at = (c.at + 1 + c.random.IntN(2)) % len(bedDomains)
}

func (c *caller) nextKey(prefix string) string {
	c.count++
	return fmt.Sprintf("%s-%s-%d", prefix, c.name, c.count)
}

// exec runs one write and notes what was told of it.
func (c *caller) exec(key, sql string) fate {
	ctx, cancel := context.WithTimeout(c.load.ctx, requestTimeout)
	defer cancel()
	conn := c.connected(ctx)
	if conn == nil {
		return fateDidNotRun
	}
	_, err := conn.Exec(ctx, sql)
	f := fateOf(err)
	c.load.note(key, f)
	return f
}

func fateOf(err error) fate {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return fateAcknowledged
	case errors.As(err, &e) && strings.HasPrefix(e.Code, "TD"):
		return fateDidNotRun
	default:
		return fateUnknown
	}
}

// writeAndRoam writes a row, moves, and reads it back: an acknowledged write
// must be seen, and every answer must be that of its own question.
func (c *caller) writeAndRoam() {
	key := c.nextKey("w")
	if c.exec(key, fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s', 'v%s')", key, key)) != fateAcknowledged {
		c.move(false)
		return
	}
	c.move(c.random.IntN(2) == 0)
	c.load.bed.atLoad("roam.moved")
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
		c.load.fault("stale own read of %s at instance %d%s", key, c.at, tag)
	case err == nil && (k != key || v != "v"+key):
		c.load.fault("answer of another: asked %s, got %s=%s", key, k, v)
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
		if c.exec(row, sql) != fateUnknown {
			return
		}
		c.move(false)
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
		c.move(false)
		return
	}
	for _, half := range []string{"a", "b"} {
		c.load.bed.atLoad("transaction.open")
		if _, err := tx.Exec(ctx, fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s%s', '1')", key, half)); err != nil {
			c.load.note(key+"a", fateDidNotRun)
			_ = tx.Rollback(ctx)
			c.move(false)
			return
		}
	}
	c.load.bed.atLoad("transaction.commit")
	c.load.note(key+"a", fateOf(tx.Commit(ctx)))
	c.move(false)
}
