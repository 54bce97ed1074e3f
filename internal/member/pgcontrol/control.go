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
	// defaultWait bounds a WaitPosition whose context has no deadline.
	defaultWait = time.Second
	// answerShare is the part of the time left that a WaitPosition keeps for
	// its answer to travel: one part in answerShare.
	answerShare = 4
)

// control implements member.Control on one connection.
type control struct {
	mu   sync.Mutex // serialises calls; a connection carries one at a time
	conn *pgconn.PgConn
	raw  net.Conn
}

// Status implements member.Control.
func (c *control) Status(ctx context.Context) (member.Status, error) {
	return c.call(ctx, StatusStatement)
}

// WaitPosition implements member.Control.
func (c *control) WaitPosition(ctx context.Context, position logpos.Position) (member.Status, error) {
	return c.call(ctx, fmt.Sprintf(waitFormat, position, waitTime(ctx).Milliseconds()))
}

// EnterTerm implements member.Control.
func (c *control) EnterTerm(ctx context.Context, term logpos.Term) (member.Status, error) {
	return c.call(ctx, fmt.Sprintf(enterFormat, term))
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

// Close implements member.Control. It ends a call in flight.
func (c *control) Close() error { return c.raw.Close() }

// call runs one statement and reads its one row.
func (c *control) call(ctx context.Context, sql string) (member.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return member.Status{}, c.failed(err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return member.Status{}, fmt.Errorf("%w: not one row", ErrMalformedStatus)
	}
	return ParseStatus(results[0].Rows[0])
}

// failed classifies the error of a call. Anything but a whole error answer
// leaves an answer on the wire, so the connection is closed at once.
func (c *control) failed(err error) error {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) || c.conn.IsClosed() {
		_ = c.raw.Close()
		return fmt.Errorf("pgcontrol: %w", err)
	}
	if answer.Code == sqlStateTermPassed {
		return fmt.Errorf("%w: %s", member.ErrTermPassed, answer.Message)
	}
	return fmt.Errorf("pgcontrol: %w", err)
}

// waitTime is how long a member may hold back its answer so that the answer
// still arrives before the deadline of ctx.
func waitTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultWait
	}
	left := time.Until(deadline)
	return max(0, left-left/answerShare)
}
