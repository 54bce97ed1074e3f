package executor

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// Methods that instances call on each other for units.
const (
	methodExecute = "unit.execute"
	methodPartial = "unit.partial"
	methodAbandon = "unit.abandon"
	methodCancel  = "unit.cancel"
)

// notifyTimeout bounds calls whose answer nobody waits for.
const notifyTimeout = 2 * time.Second

// forwardGrace is added to a unit's time before its home is given up: the home
// answers for itself in time unless it is lost.
const forwardGrace = 250 * time.Millisecond

// reference names a transaction or a unit of a group.
type reference struct {
	Group string `json:"group"`
	ID    string `json:"id"`
}

// piece is a part of a large answer on its way to the entry instance.
type piece struct {
	ID    string `json:"id"`
	Bytes []byte `json:"bytes"`
}

// Register adds the router's methods to the peer server.
func (r *Router) Register(s peer.Registry) {
	s.Handle(methodExecute, r.serveExecute)
	s.Handle(methodPartial, r.servePartial)
	s.Handle(methodAbandon, r.serveAbandon)
	s.Handle(methodCancel, r.serveCancel)
	s.Handle(methodStanding, r.serveStanding)
}

// forward tries the homes of the unit's group in order. It goes on to the next
// home only when the unit did not leave this instance or the home says that it
// is no home.
func (r *Router) forward(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	last := result.New(result.UpstreamUnreachable, "no home of group %s answers", u.Group).WithRetryAfter(retryAfterFailover)
	for _, home := range r.avoided.order(r.clock.Now(), forOwner(r.homes.Homes(u.Group), u.Owner)) {
		if home.ID == r.self {
			continue
		}
		reply, err := r.send(ctx, home, u, partial)
		if err == nil {
			return reply, nil
		}
		r.note(home, err)
		if !notTaken(err) {
			return nil, forwardFailed(err)
		}
		last = last.WithCause(err)
	}
	return nil, r.metrics.refused(u.Group, last)
}

// note remembers a home that refuses new units because it shuts down, as units sent
// to it until the instance list shows that would race the close of its connections,
// and one that cannot be reached, as each unit would else wait for that anew.
func (r *Router) note(home platform.Instance, err error) {
	now := r.clock.Now()
	if errors.Is(err, peer.ErrNotSent) {
		r.avoided.add(home.ID, now.Add(avoidUnreached))
		return
	}
	if e, ok := result.As(err); ok && e.Code == result.Draining {
		r.avoided.add(home.ID, now.Add(avoidDraining))
	}
}

// notTaken reports that the home did not start on the unit.
func notTaken(err error) bool {
	if errors.Is(err, peer.ErrNotSent) {
		return true
	}
	e, ok := result.As(err)
	return ok && (e.Code == result.NotReady || e.Code == result.Draining)
}

// forwardFailed keeps the home's own result code; any other end of the call
// leaves the outcome unknown.
func forwardFailed(err error) error {
	if e, ok := result.As(err); ok {
		return e
	}
	return result.New(result.PeerLost, "the home instance stopped answering").WithCause(err)
}

// forwardTo sends a unit to the instance that owns its transaction.
func (r *Router) forwardTo(ctx context.Context, owner string, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	home, ok := r.homes.FindInstance(owner)
	if !ok {
		return nil, result.New(result.TransactionLost, "instance %s is gone", owner)
	}
	defer r.setAway(u.ID, awayUnit{instance: home.ID, id: u.ID})()
	reply, err := r.send(ctx, home, u, partial)
	if errors.Is(err, peer.ErrNotSent) {
		return nil, result.New(result.TransactionLost, "instance %s does not answer", owner).WithCause(err)
	}
	if err != nil {
		return nil, forwardFailed(err)
	}
	return reply, nil
}

func (r *Router) send(ctx context.Context, home platform.Instance, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	u.ReplyTo = r.address
	r.setPartial(u.ID, partial)
	defer r.setPartial(u.ID, nil)
	ctx, cancel := context.WithTimeout(ctx, u.Timeout+forwardGrace)
	defer cancel()
	reply := new(execution.Reply)
	if err := r.caller.Call(ctx, home.PeerAddress, methodExecute, u, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

func (r *Router) setPartial(unitID string, f func([]byte) error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f == nil {
		delete(r.partials, unitID)
		return
	}
	r.partials[unitID] = f
}

// notify calls an instance without waiting for its answer.
func (r *Router) notify(instance, method string, ref reference) {
	to, ok := r.homes.FindInstance(instance)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_ = r.caller.Call(ctx, to.PeerAddress, method, ref, nil)
	}()
}

// serveExecute runs a unit for a peer. A unit that arrives at an instance that
// is not home to its group is refused, never passed on, so that units do not
// travel in circles.
func (r *Router) serveExecute(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	u := new(execution.Unit)
	if err := json.Unmarshal(params, u); err != nil {
		return nil, result.New(result.ProtocolViolation, "unit").WithCause(err)
	}
	if !r.begin(u) {
		return nil, result.New(result.Draining, "instance %s", r.self)
	}
	defer r.finish()
	if u.Transaction != "" {
		return r.inTransaction(ctx, u, r.partialTo(ctx, u))
	}
	g := r.enter(u.Group)
	if g == nil {
		return nil, result.New(result.NotReady, "this instance is not home to group %s", u.Group)
	}
	defer g.leave()
	return r.atHome(ctx, g, u, r.partialTo(ctx, u))
}

// partialTo sends pieces to the entry instance. The next piece waits until the
// last one was taken, which bounds what is under way.
func (r *Router) partialTo(ctx context.Context, u *execution.Unit) func([]byte) error {
	return func(bytes []byte) error {
		return r.caller.Call(ctx, u.ReplyTo, methodPartial, piece{ID: u.ID, Bytes: bytes}, nil)
	}
}

func (r *Router) servePartial(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var p piece
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	r.mu.RLock()
	f := r.partials[p.ID]
	r.mu.RUnlock()
	if f == nil {
		return nil, result.New(result.AnswerCutShort, "the unit is no longer waited for")
	}
	return nil, f(p.Bytes)
}

func (r *Router) serveAbandon(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ref reference
	if err := json.Unmarshal(params, &ref); err != nil {
		return nil, err
	}
	r.Abandon(ref.Group, ref.ID)
	return nil, nil
}

func (r *Router) serveCancel(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ref reference
	if err := json.Unmarshal(params, &ref); err != nil {
		return nil, err
	}
	if g := r.Local(ref.Group); g != nil {
		g.Cancel(ref.Group, ref.ID)
	}
	return nil, nil
}
