package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// keyInsertFailed returns the error of a keyed unit whose key row could not be inserted. The
// unit's own statements were sent in the aborted transaction, so they did not run.
func (g *Group) keyInsertFailed(ctx context.Context, u *execution.Unit, x *exchange) error {
	if x.TxStatus != wire.Idle {
		// The unit opened the transaction: closing the connection rolls it back.
		x.conn.MarkUnusable()
	}
	g.Pool.Release(x.conn)
	if x.KeyFailure.Kind != wire.FailureKeyExists {
		return keyNotStoredError(x.KeyFailure)
	}
	return g.lookUpKeyOutcome(ctx, requestKey{u.Key, u.ConnectionOwner})
}

// keyInsertFailedInTransaction is keyInsertFailed inside a caller's transaction, which is rolled
// back as a whole.
func (g *Group) keyInsertFailedInTransaction(ctx context.Context, u *execution.Unit, x *exchange, tx *transaction) error {
	g.endTransaction(tx, true)
	if x.KeyFailure.Kind != wire.FailureKeyExists {
		return keyNotStoredError(x.KeyFailure)
	}
	return g.lookUpKeyOutcome(ctx, requestKey{u.Key, u.ConnectionOwner})
}

func keyNotStoredError(e *wire.Failure) error {
	return result.New(result.UpstreamUnreachable, "the request key was not stored: %s %s", e.Code, e.Message)
}

// lookUpKeyOutcome returns, as a result code, the outcome recorded in an existing key row. The row
// must be confirmed first: a row that only a replaced primary holds proves nothing.
func (g *Group) lookUpKeyOutcome(ctx context.Context, key requestKey) error {
	outcome, err := g.readKeyOutcome(ctx, key)
	if err != nil {
		return result.New(result.TombstoneFailed, "the key's row could not be read").WithCause(err)
	}
	switch outcome {
	case wire.KeyRan:
		return result.New(result.AlreadyRan, "key %q", key.name)
	case wire.KeyBlocked:
		return result.New(result.TombstoneWritten, "key %q", key.name)
	default:
		return result.New(result.TombstoneFailed, "key %q has no known outcome", key.name)
	}
}

// resolveOutcome tries to replace an unknown outcome by a known one. It blocks the key by a
// tombstone: if the tombstone commits, the request can never run; if the key exists, it ran.
func (g *Group) resolveOutcome(ctx context.Context, key requestKey, err error) error {
	e, ok := result.As(err)
	if !ok || e.Code.Family() != result.FamilyOutcomeUnknown || e.Code == result.TombstoneFailed {
		return err
	}
	g.Metrics.countResolution(g.Group, e.Code)
	for {
		resolved, done := g.blockKey(ctx, key)
		if done {
			return resolved
		}
		if g.sleepPollInterval(ctx) != nil {
			return e
		}
	}
}

// blockKey makes one attempt to insert the tombstone. The second result is false if the attempt
// was inconclusive and may be repeated.
func (g *Group) blockKey(ctx context.Context, key requestKey) (error, bool) {
	x, err := g.runKeyStep(ctx, key.owner, wire.Step{Kind: wire.StepStoreKey, Key: key.name, Outcome: wire.KeyBlocked})
	if err != nil {
		return nil, false
	}
	failure := x.KeyFailure
	if failure != nil && failure.Kind == wire.FailureKeyExists {
		resolved := g.lookUpKeyOutcome(ctx, key)
		e, _ := result.As(resolved)
		return resolved, e.Code != result.TombstoneFailed
	}
	if failure != nil && failure.Kind != wire.FailureReadOnly {
		// For example a missing table: another attempt would fail in the same way.
		return result.New(result.TombstoneFailed, "%s %s", failure.Code, failure.Message), true
	}
	if failure != nil {
		return nil, false
	}
	if _, err := g.confirmKeyExchange(ctx, x); err != nil {
		return nil, false
	}
	return result.New(result.TombstoneWritten, "key %q", key.name), true
}

func (g *Group) readKeyOutcome(ctx context.Context, key requestKey) (wire.KeyOutcome, error) {
	x, err := g.runKeyStep(ctx, key.owner, wire.Step{Kind: wire.StepFindKey, Key: key.name})
	if err != nil {
		return "", err
	}
	if x.KeyFailure != nil {
		return "", result.New(result.TombstoneFailed, "%s", x.KeyFailure.Message)
	}
	if _, err := g.confirmKeyExchange(ctx, x); err != nil {
		return "", err
	}
	return x.KeyOutcome, nil
}

// runKeyStep runs one request-key step at the current primary.
func (g *Group) runKeyStep(ctx context.Context, owner string, step wire.Step) (*exchange, error) {
	x, err := g.newKeyExchange(ctx, owner)
	if err != nil {
		return nil, err
	}
	defer g.Pool.Release(x.conn)
	x.Steps = []wire.Step{step, {Kind: wire.StepMemberStatus}}
	return x, x.conn.Run(&x.Exchange)
}

// newKeyExchange prepares an exchange at the current primary.
func (g *Group) newKeyExchange(ctx context.Context, owner string) (*exchange, error) {
	s, err := g.writablePrimary()
	if err != nil {
		return nil, err
	}
	c, err := g.Pool.Acquire(ctx, s.Primary, owner)
	if err != nil {
		return nil, err
	}
	x := newExchange(c, emptyUnit, plan{}, nil)
	x.term = s.Term
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		g.Pool.Release(c)
		return nil, err
	}
	return x, nil
}

func (g *Group) confirmKeyExchange(ctx context.Context, x *exchange) (logpos.TermPosition, error) {
	return g.confirm(ctx, plan{limits: g.Service().Limits}, x)
}
