package pgcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

const (
	// defaultPositionWait limits a WaitPosition call whose context has no deadline.
	defaultPositionWait = time.Second
	// responseMarginDivisor sets the time that WaitPosition reserves for the
	// response to arrive: the time to the deadline divided by this number.
	responseMarginDivisor = 4
)

// control implements member.Control on one connection.
type control struct {
	mu      sync.Mutex // serialises calls, because a connection can run only one at a time
	conn    *pgconn.PgConn
	netConn net.Conn
}

// Status implements member.Control.
func (c *control) Status(ctx context.Context) (member.Status, error) {
	return c.call(ctx, StatusStatement)
}

// WaitPosition implements member.Control.
func (c *control) WaitPosition(ctx context.Context, position logpos.Position) (member.Status, error) {
	return c.call(ctx, fmt.Sprintf(waitPositionFormat, position, positionWaitTime(ctx).Milliseconds()))
}

// EnterTerm implements member.Control.
func (c *control) EnterTerm(ctx context.Context, term logpos.Term) (member.Status, error) {
	return c.call(ctx, fmt.Sprintf(enterTermFormat, term))
}

// Promote implements member.Control.
func (c *control) Promote(ctx context.Context, p member.Promotion) (member.Status, error) {
	return c.call(ctx, fmt.Sprintf(promoteFormat, p.Term))
}

// Follow implements member.Control.
func (c *control) Follow(ctx context.Context, term logpos.Term, primary string) (member.Status, error) {
	quoted := strings.ReplaceAll(primary, "'", "''")
	return c.call(ctx, fmt.Sprintf(followFormat, term, quoted))
}

// Close implements member.Control. A call in progress fails.
func (c *control) Close() error { return c.netConn.Close() }

// call executes a statement and parses the status row that it returns.
func (c *control) call(ctx context.Context, sql string) (member.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return member.Status{}, c.callError(err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return member.Status{}, fmt.Errorf("%w: expected one result with one row", ErrMalformedStatus)
	}
	return ParseStatus(results[0].Rows[0])
}

// callError classifies the error of a call. Unless the member sent a complete
// error response, a response may still arrive, so the connection is closed.
func (c *control) callError(err error) error {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || c.conn.IsClosed() {
		_ = c.netConn.Close()
		return fmt.Errorf("pgcontrol: %w", err)
	}
	if pgErr.Code == sqlStateTermPassed {
		return fmt.Errorf("%w: %s", member.ErrStaleTerm, pgErr.Message)
	}
	return fmt.Errorf("pgcontrol: %w", err)
}

// positionWaitTime returns how long a member may delay its response so that the
// response still arrives before the deadline of ctx.
func positionWaitTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultPositionWait
	}
	left := time.Until(deadline)
	return max(0, left-left/responseMarginDivisor)
}
