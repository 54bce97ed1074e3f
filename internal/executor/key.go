package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
	"github.com/topazrock/topazrock/internal/wire"
)

// keyRefused answers a keyed unit whose key row could not be inserted. The
// unit's own statements met an aborted transaction, so they did not run.
func (g *Group) keyRefused(ctx context.Context, u *execution.Unit, x *exchange) error {
	if x.Final != wire.Idle {
		// The unit was the transaction's BEGIN: closing rolls it back.
		x.conn.Spoil()
	}
	g.Pool.Release(x.conn)
	if x.KeyFailure.Kind != wire.FailureKeyExists {
		return keyNotStored(x.KeyFailure)
	}
	return g.lookUpKey(ctx, requestKey{u.Key, u.Owner})
}

// keyRefusedIn is keyRefused inside of the caller's transaction, which is
// rolled back as a whole.
func (g *Group) keyRefusedIn(ctx context.Context, u *execution.Unit, x *exchange, tx *transaction) error {
	g.end(tx, true)
	if x.KeyFailure.Kind != wire.FailureKeyExists {
		return keyNotStored(x.KeyFailure)
	}
	return g.lookUpKey(ctx, requestKey{u.Key, u.Owner})
}

func keyNotStored(e *wire.Failure) error {
	return result.New(result.UpstreamUnreachable, "the request key was not stored: %s %s", e.Code, e.Message)
}

// lookUpKey tells what an existing key row says, once that row is confirmed: a
// row that only a replaced primary holds proves nothing.
func (g *Group) lookUpKey(ctx context.Context, key requestKey) error {
	outcome, err := g.readKey(ctx, key)
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

// settle tries to turn an unknown outcome into a known one. It blocks the key:
// if that commits, the request can never run; if the key is there, it ran.
func (g *Group) settle(ctx context.Context, key requestKey, err error) error {
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
func (g *Group) block(ctx context.Context, key requestKey) (error, bool) {
	x, err := g.control(ctx, key.owner, wire.Step{Kind: wire.StepStoreKey, Key: key.name, Outcome: wire.KeyBlocked})
	if err != nil {
		return nil, false
	}
	failure := x.KeyFailure
	if failure != nil && failure.Kind == wire.FailureKeyExists {
		settled := g.lookUpKey(ctx, key)
		e, _ := result.As(settled)
		return settled, e.Code != result.TombstoneFailed
	}
	if failure != nil && failure.Kind != wire.FailureReadOnly {
		// Such as a missing table: the next attempt would end the same way.
		return result.New(result.TombstoneFailed, "%s %s", failure.Code, failure.Message), true
	}
	if failure != nil {
		return nil, false
	}
	if _, err := g.confirmStatus(ctx, x); err != nil {
		return nil, false
	}
	return result.New(result.TombstoneWritten, "key %q", key.name), true
}

func (g *Group) readKey(ctx context.Context, key requestKey) (wire.KeyOutcome, error) {
	x, err := g.control(ctx, key.owner, wire.Step{Kind: wire.StepFindKey, Key: key.name})
	if err != nil {
		return "", err
	}
	if x.KeyFailure != nil {
		return "", result.New(result.TombstoneFailed, "%s", x.KeyFailure.Message)
	}
	if _, err := g.confirmStatus(ctx, x); err != nil {
		return "", err
	}
	return x.KeyOutcome, nil
}

// control runs one step about keys at the present primary.
func (g *Group) control(ctx context.Context, owner string, step wire.Step) (*exchange, error) {
	x, err := g.keyExchange(ctx, owner)
	if err != nil {
		return nil, err
	}
	defer g.Pool.Release(x.conn)
	x.Steps = []wire.Step{step, {Kind: wire.StepReport}}
	return x, x.conn.Run(&x.Exchange)
}

// keyExchange begins an exchange at the present primary.
func (g *Group) keyExchange(ctx context.Context, owner string) (*exchange, error) {
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

func (g *Group) confirmStatus(ctx context.Context, x *exchange) (logpos.Mark, error) {
	return g.confirm(ctx, plan{limits: g.Service().Limits}, x)
}
