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
	// dialTimeout bounds a connection attempt; the caller then tries elsewhere.
	dialTimeout = 2 * time.Second
	// requestTimeout bounds one request from the caller's side. It is past the
	// instance's own deadline, so that the instance can answer first.
	requestTimeout = 20 * time.Second
	// Shares of the steps of a session, in percent.
	roamPercent   = 5
	forgetPercent = 30
	othersPercent = 50
	// refusedPause is how long a refused caller waits.
	refusedPause = 50 * time.Millisecond
)

// Families of result codes, by the first characters of the SQLSTATE.
const (
	familyDidNotRun = "TD"
	familyRan       = "TR"
)

// session is one caller that roams between the entry addresses.
type session struct {
	bench *bench
	rng   *rand.Rand
	id    string
	group int
	conn  *pgx.Conn
	token string
	// last is the session's newest acked write.
	last  entry
	count int
}

// run works until ctx ends, with a pause between requests.
func (s *session) run(ctx context.Context, think time.Duration) {
	defer s.leave()
	for ctx.Err() == nil {
		if s.conn == nil && !s.connect(ctx) {
			pause(ctx, refusedPause)
			continue
		}
		// A request that has begun is let finish: a caller that goes away in the
		// middle would only add outcomes that nobody asked for.
		s.step(context.WithoutCancel(ctx))
		pause(ctx, time.Duration(s.rng.Int64N(int64(2*think))))
	}
}

func (s *session) step(ctx context.Context) {
	c := s.bench.profile.pick(s.rng.IntN(s.bench.profile.weights()))
	began := time.Now()
	var err error
	if s.last.key == "" || c.kind == kindWrite {
		err = s.write(ctx, c)
	} else {
		err = s.read(ctx, c)
	}
	if err != nil {
		s.bench.ledger.refusal(err, began)
		pause(ctx, refusedPause)
	}
	if s.rng.IntN(100) < roamPercent || s.conn.IsClosed() {
		s.leave()
	}
}

// connect opens a connection at a random entry. Some sessions arrive without
// their token, as a caller does whose driver cannot carry it.
func (s *session) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	token := s.token
	if s.rng.IntN(100) < forgetPercent {
		token = ""
	}
	conn, err := s.bench.dial(ctx, s.rng.IntN(len(s.bench.entries)), s.group, token)
	if err != nil {
		s.bench.ledger.count("connect " + code(err))
		return false
	}
	s.conn = conn
	return true
}

func (s *session) leave() {
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
		c = s.bench.profile.plainWrite()
	}
	s.count++
	e := entry{s.group, fmt.Sprintf("%s/%d", s.id, s.count), fmt.Sprintf("%s by %s", c.name, s.id)}
	began := time.Now()
	err := insert(ctx, s.conn, e, c)
	v := judge(err)
	s.bench.ledger.wrote(e, v, c.name, began)
	if v == acked {
		s.last = e
	}
	s.keepToken()
	return err
}

// insert writes a row of its own key, under a request key if the class needs one.
func insert(ctx context.Context, conn *pgx.Conn, e entry, c class) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	tag := fmt.Sprintf("/*request='%s'*/", c.name)
	if c.keyed {
		tag = fmt.Sprintf("/*request='%s',key='%s'*/", c.name, e.key)
	}
	_, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2) "+tag, pgx.QueryExecModeExec, e.key, e.value)
	return err
}

// read asks for the session's own last write, which must be seen, or for a row
// that another session wrote, which may be too new for an aged read.
func (s *session) read(ctx context.Context, c class) error {
	e, own := s.last, true
	if s.rng.IntN(100) < othersPercent {
		if other, ok := s.bench.others.any(s.rng, s.group); ok {
			e, own = other, other == s.last
		}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := time.Now()
	var got string
	sql := fmt.Sprintf("SELECT v FROM kv WHERE k = $1 /*request='%s'*/", c.name)
	err := s.conn.QueryRow(ctx, sql, e.key).Scan(&got)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		return err
	}
	s.bench.ledger.read(e.value, got, own, c, began)
	s.keepToken()
	return nil
}

func (s *session) keepToken() {
	if t := s.conn.PgConn().ParameterStatus(tokenParameter); t != "" {
		s.token = t
	}
	s.bench.others.note(s.last)
}

// judge tells what a caller may conclude from the end of a write.
func judge(err error) verdict {
	var e *pgconn.PgError
	switch {
	case err == nil:
		return acked
	case errors.As(err, &e) && strings.HasPrefix(e.Code, familyRan):
		return acked
	case errors.As(err, &e) && strings.HasPrefix(e.Code, familyDidNotRun):
		return didNotRun
	case pgconn.SafeToRetry(err):
		return didNotRun
	default:
		return unknown
	}
}

// code names an error in the report.
func code(err error) string {
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

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
