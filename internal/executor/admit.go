package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/admission"
)

// enter waits for a slot to run a unit at a member.
func (g *Group) enter(ctx context.Context, p plan, member string) (*admission.Slot, error) {
	deadline, _ := ctx.Deadline()
	return g.Gate.Enter(ctx, p.admission(deadline, member, false))
}

// enterTransaction waits for a slot for one more unit of an open transaction. Where
// a slot stands for a connection, the transaction has it already.
func (g *Group) enterTransaction(ctx context.Context, p plan, tx *transaction) (release func(), err error) {
	if tx.slot != nil {
		return func() {}, nil
	}
	deadline, _ := ctx.Deadline()
	slot, err := g.Gate.Enter(ctx, p.admission(deadline, tx.conn.Address(), true))
	if err != nil {
		return nil, err
	}
	return slot.Release, nil
}

// leaveUnserved gives back the slot of a unit that was not sent.
func leaveUnserved(slot *admission.Slot) {
	slot.Refused()
	slot.Release()
}

// freeSlot gives back a slot that is still held.
func freeSlot(slot *admission.Slot) {
	if slot != nil {
		slot.Release()
	}
}
