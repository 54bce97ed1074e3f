package executor

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
)

// keyRefused answers a keyed unit whose key row could not be inserted. The
// unit's own statements met an aborted transaction, so they did not run.
func (g *Group) keyRefused(ctx context.Context, u *execution.Unit, x *exchange) error {
	if x.final != statusIdle {
		// The unit was the transaction's BEGIN: closing rolls it back.
		x.conn.Spoil()
	}
	g.Pool.Release(x.conn)
	if x.keyFailure.Code != uniqueViolation {
		return keyNotStored(x.keyFailure)
	}
	return g.lookUpKey(ctx, u.Key)
}

// keyRefusedIn is keyRefused inside of the caller's transaction, which is
// rolled back as a whole.
func (g *Group) keyRefusedIn(ctx context.Context, u *execution.Unit, x *exchange, tx *transaction) error {
	g.end(tx, true)
	if x.keyFailure.Code != uniqueViolation {
		return keyNotStored(x.keyFailure)
	}
	return g.lookUpKey(ctx, u.Key)
}

func keyNotStored(e *pgproto3.ErrorResponse) error {
	return result.New(result.UpstreamUnreachable, "the request key was not stored: %s %s", e.Code, e.Message)
}

// lookUpKey tells what an existing key row says, once that row is confirmed: a
// row that only a replaced primary holds proves nothing.
func (g *Group) lookUpKey(ctx context.Context, key string) error {
	outcome, err := g.readKey(ctx, key)
	if err != nil {
		return result.New(result.TombstoneFailed, "the key's row could not be read").WithCause(err)
	}
	switch outcome {
	case keyRan:
		return result.New(result.AlreadyRan, "key %q", key)
	case keyBlocked:
		return result.New(result.TombstoneWritten, "key %q", key)
	default:
		return result.New(result.TombstoneFailed, "key %q has no known outcome", key)
	}
}

// settle tries to turn an unknown outcome into a known one. It blocks the key:
// if that commits, the request can never run; if the key is there, it ran.
func (g *Group) settle(ctx context.Context, key string, err error) error {
	e, ok := result.As(err)
	if !ok || e.Code.Family() != result.FamilyOutcomeUnknown || e.Code == result.TombstoneFailed {
		return err
	}
	g.Metrics.settling(g.Group, e.Code)
	for {
		settled, done := g.block(ctx, key)
		if done {
			return settled
		}
		if g.pause(ctx) != nil {
			return e
		}
	}
}

// block makes one attempt to insert the tombstone. The second value is false
// when the attempt showed nothing and may be made again.
func (g *Group) block(ctx context.Context, key string) (error, bool) {
	x, err := g.control(ctx, insertKey(key, keyBlocked))
	if err != nil {
		return nil, false
	}
	failure := x.keyFailure
	if failure != nil && failure.Code == uniqueViolation {
		settled := g.lookUpKey(ctx, key)
		e, _ := result.As(settled)
		return settled, e.Code != result.TombstoneFailed
	}
	if failure != nil && failure.Code != readOnlyTransaction {
		// Such as a missing table: the next attempt would end the same way.
		return result.New(result.TombstoneFailed, "%s %s", failure.Code, failure.Message), true
	}
	if failure != nil {
		return nil, false
	}
	if _, err := g.confirmStatus(ctx, x); err != nil {
		return nil, false
	}
	return result.New(result.TombstoneWritten, "key %q", key), true
}

func (g *Group) readKey(ctx context.Context, key string) (string, error) {
	x, err := g.control(ctx, selectKey(key))
	if err != nil {
		return "", err
	}
	if x.keyFailure != nil {
		return "", result.New(result.TombstoneFailed, "%s", x.keyFailure.Message)
	}
	if _, err := g.confirmStatus(ctx, x); err != nil {
		return "", err
	}
	return x.keyOutcome, nil
}

// control runs one statement about keys at the present primary.
func (g *Group) control(ctx context.Context, sql string) (*exchange, error) {
	x, err := g.keyExchange(ctx)
	if err != nil {
		return nil, err
	}
	defer g.Pool.Release(x.conn)
	return x, x.run([]part{queryPart(partKey, sql), statusPart()})
}

// keyExchange begins an exchange at the present primary.
func (g *Group) keyExchange(ctx context.Context) (*exchange, error) {
	s, err := g.writablePrimary()
	if err != nil {
		return nil, err
	}
	c, err := g.Pool.Acquire(ctx, s.Primary)
	if err != nil {
		return nil, err
	}
	x := newExchange(c, &execution.Unit{}, 0, nil)
	x.term = s.Term
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		g.Pool.Release(c)
		return nil, err
	}
	return x, nil
}

func (g *Group) confirmStatus(ctx context.Context, x *exchange) (logpos.Mark, error) {
	return g.confirm(ctx, plan{limits: g.Service().Limits}, x)
}
