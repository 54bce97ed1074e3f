package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	tokenParameter = "topazrock.token"
	password       = "change-me"
	// dialTimeout limits a connection attempt. After it the caller tries another
	// instance.
	dialTimeout = 2 * time.Second
	// requestTimeout is the client-side limit of a request. It is longer than the
	// instance's own deadline, so that the instance can respond first.
	requestTimeout = 20 * time.Second
	// The probabilities, in percent, that a session reconnects after a request, that it
	// connects without its token, and that a read is for a row of another session.
	reconnectPercent     = 5
	noTokenPercent       = 30
	otherSessionsPercent = 50
	// refusalBackoff is how long a caller waits after a refused request or connection.
	refusalBackoff = 50 * time.Millisecond
)

// Prefixes of the SQLSTATE of a result code, which tell whether the request ran.
const (
	prefixDidNotRun = "TD"
	prefixRan       = "TR"
)

// session is one caller that moves between the entry instances.
type session struct {
	bench *bench
	rng   *rand.Rand
	id    string
	group int
	conn  *pgx.Conn
	token string
	// lastWrite is the session's latest acknowledged write.
	lastWrite  writeRecord
	writeCount int
}

// run sends requests until ctx is done, with random pauses of the given mean.
func (s *session) run(ctx context.Context, meanPause time.Duration) {
	defer s.disconnect()
	for ctx.Err() == nil {
		if s.conn == nil && !s.connect(ctx) {
			sleep(ctx, refusalBackoff)
			continue
		}
		// A request in progress may finish after ctx is done, because aborting it
		// would only add writes with an unknown outcome.
		s.runRequest(context.WithoutCancel(ctx))
		sleep(ctx, time.Duration(s.rng.Int64N(int64(2*meanPause))))
	}
}

func (s *session) runRequest(ctx context.Context) {
	c := s.bench.profile.classAt(s.rng.IntN(s.bench.profile.totalWeight()))
	began := time.Now()
	var err error
	if s.lastWrite.key == "" || c.kind == kindWrite {
		err = s.write(ctx, c)
	} else {
		err = s.read(ctx, c)
	}
	if err != nil {
		s.bench.history.recordError(err, began)
		sleep(ctx, refusalBackoff)
	}
	if s.rng.IntN(100) < reconnectPercent || s.conn.IsClosed() {
		s.disconnect()
	}
}

// connect connects to a random entry instance. Some connections are made without the
// session's token, as by a caller whose driver cannot send it.
func (s *session) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	token := s.token
	if s.rng.IntN(100) < noTokenPercent {
		token = ""
	}
	conn, err := s.bench.dial(ctx, s.rng.IntN(len(s.bench.entryAddresses)), s.group, token)
	if err != nil {
		s.bench.history.countError("connect " + errorCode(err))
		return false
	}
	s.conn = conn
	return true
}

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

func (s *session) write(ctx context.Context, c class) error {
	if c.kind != kindWrite {
		c = s.bench.profile.unkeyedWrite()
	}
	s.writeCount++
	w := writeRecord{s.group, fmt.Sprintf("%s/%d", s.id, s.writeCount), fmt.Sprintf("%s by %s", c.name, s.id)}
	began := time.Now()
	err := insert(ctx, s.conn, w, c)
	o := outcomeOf(err)
	s.bench.history.recordWrite(w, o, c.name, began)
	if o == acked {
		s.lastWrite = w
	}
	s.saveProgress()
	return err
}

// insert inserts a row, with a request key if the class requires one.
func insert(ctx context.Context, conn *pgx.Conn, w writeRecord, c class) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	tag := fmt.Sprintf("/*request='%s'*/", c.name)
	if c.keyed {
		tag = fmt.Sprintf("/*request='%s',key='%s'*/", c.name, w.key)
	}
	_, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2) "+tag, pgx.QueryExecModeExec, w.key, w.value)
	return err
}

// read reads the session's own last write, which must be visible, or a row that
// another session wrote. A read that allows staleness may miss the latter if it was
// written recently.
func (s *session) read(ctx context.Context, c class) error {
	w, own := s.lastWrite, true
	if s.rng.IntN(100) < otherSessionsPercent {
		if other, ok := s.bench.recentWrites.pick(s.rng, s.group); ok {
			w, own = other, other == s.lastWrite
		}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := time.Now()
	var got string
	sql := fmt.Sprintf("SELECT v FROM kv WHERE k = $1 /*request='%s'*/", c.name)
	err := s.conn.QueryRow(ctx, sql, w.key).Scan(&got)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		return err
	}
	s.bench.history.recordRead(w.value, got, own, c, began)
	s.saveProgress()
	return nil
}

func (s *session) saveProgress() {
	if t := s.conn.PgConn().ParameterStatus(tokenParameter); t != "" {
		s.token = t
	}
	s.bench.recentWrites.add(s.lastWrite)
}

// outcomeOf returns what a caller can conclude from the error of a write.
func outcomeOf(err error) outcome {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return acked
	case errors.As(err, &e) && strings.HasPrefix(e.Code, prefixRan):
		return acked
	case errors.As(err, &e) && strings.HasPrefix(e.Code, prefixDidNotRun):
		return didNotRun
	case pgconn.SafeToRetry(err):
		return didNotRun
	default:
		return unknown
	}
}

// errorCode returns the name under which the report counts an error.
func errorCode(err error) string {
	var e *pgconn.PgError
	var n net.Error
	switch {
	case errors.As(err, &e):
		return e.Code
	case errors.As(err, &n) && n.Timeout():
		return "timeout"
	default:
		return "connection"
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
