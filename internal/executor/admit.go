package executor

import (
	"context"

	"github.com/topazrock/topazrock/internal/admission"
)

// acquireSlot waits for an admission slot to run a unit at a member.
func (g *Group) acquireSlot(ctx context.Context, p plan, member string) (*admission.Slot, error) {
	deadline, _ := ctx.Deadline()
	return g.Gate.Acquire(ctx, g.weighted(p.admissionRequest(deadline, member, false)))
}

// weighted sets the weight of the request's workspace.
func (g *Group) weighted(r admission.Request) admission.Request {
	if g.WorkspaceWeight != nil {
		r.WorkspaceWeight = g.WorkspaceWeight(r.Workspace)
	}
	return r
}

// acquireTransactionSlot waits for a slot for the next unit of an open transaction. If a slot
// represents a connection, the transaction already holds one.
func (g *Group) acquireTransactionSlot(ctx context.Context, p plan, tx *transaction) (release func(), err error) {
	if tx.slot != nil {
		return func() {}, nil
	}
	deadline, _ := ctx.Deadline()
	slot, err := g.Gate.Acquire(ctx, g.weighted(p.admissionRequest(deadline, tx.conn.Address(), true)))
	if err != nil {
		return nil, err
	}
	return slot.Release, nil
}

// releaseUnusedSlot releases the slot of a unit that was not sent.
func releaseUnusedSlot(slot *admission.Slot) {
	slot.MarkNotExecuted()
	slot.Release()
}

// releaseSlot releases a slot; a nil slot was released before.
func releaseSlot(slot *admission.Slot) {
	if slot != nil {
		slot.Release()
	}
}
