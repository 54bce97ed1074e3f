package executor

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/homechoice"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
	"github.com/topazrock/topazrock/internal/result"
)

// Methods that instances call on each other to run units.
const (
	methodExecute = "unit.execute"
	methodPartial = "unit.partial"
	methodAbandon = "unit.abandon"
	methodCancel  = "unit.cancel"
)

// notifyTimeout bounds calls whose answer is not waited for.
const notifyTimeout = 2 * time.Second

// forwardGrace is added to a unit's timeout before the call to its home is given up: a home that
// is alive answers within the unit's own timeout.
const forwardGrace = 250 * time.Millisecond

// objectRef identifies a group, or a transaction or unit of a group.
type objectRef struct {
	Group string `json:"group"`
	ID    string `json:"id"`
}

// answerChunk is part of a large answer that is sent to the entry instance.
type answerChunk struct {
	ID    string `json:"id"`
	Bytes []byte `json:"bytes"`
}

// Register adds the router's methods to the peer server.
func (r *Router) Register(s peer.HandlerRegistry) {
	s.Handle(methodExecute, r.serveExecute)
	s.Handle(methodPartial, r.servePartial)
	s.Handle(methodAbandon, r.serveAbandon)
	s.Handle(methodCancel, r.serveCancel)
	s.Handle(methodLeft, r.serveLeft)
	s.Handle(methodCapability, r.serveCapability)
}

// forward tries the homes of the unit's group in order. It continues with the next home only if
// the unit was not sent, or if the home refused it because it is not home to the group or is
// draining.
func (r *Router) forward(ctx context.Context, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	unreachable := result.New(result.UpstreamUnreachable, "no home of group %s answers", u.Group).WithRetryAfter(retryAfterFailover)
	homes := r.avoidedHomes.Order(r.clock.Now(), homechoice.OrderForOwner(r.homes.Homes(u.Group), u.ConnectionOwner))
	for _, home := range r.orderByLoad(u, homes) {
		if home.ID == r.selfID {
			continue
		}
		reply, err := r.sendByLoad(ctx, home, u, partial)
		if err == nil {
			return reply, nil
		}
		r.avoidFailedHome(home, err)
		if !unitNotStarted(err) {
			return nil, forwardError(err)
		}
		unreachable = unreachable.WithCause(err)
	}
	return nil, r.metrics.countRefusal(u.Group, unreachable)
}

// avoidFailedHome records a home that refuses new units because it is shutting down, or that cannot
// be reached. Units sent to a home that is shutting down would race with the closing of its
// connections until the instance list shows the shutdown. Every unit sent to an unreachable home
// would wait for it again.
func (r *Router) avoidFailedHome(home platform.Instance, err error) {
	now := r.clock.Now()
	if errors.Is(err, peer.ErrNotSent) {
		r.avoidedHomes.Add(home.ID, now.Add(homechoice.AvoidUnreachableFor))
		return
	}
	if e, ok := result.As(err); ok && e.Code == result.Draining {
		r.avoidedHomes.Add(home.ID, now.Add(r.shutdownTime))
	}
}

// unitNotStarted reports whether the home did not start executing the unit.
func unitNotStarted(err error) bool {
	if errors.Is(err, peer.ErrNotSent) {
		return true
	}
	e, ok := result.As(err)
	return ok && (e.Code == result.NotReady || e.Code == result.Draining)
}

// forwardError keeps the home's own result code. Any other failure of the call leaves the outcome
// unknown.
func forwardError(err error) error {
	if e, ok := result.As(err); ok {
		return e
	}
	return result.New(result.PeerLost, "the home instance stopped answering").WithCause(err)
}

// forwardToOwner sends a unit to the instance that owns its transaction.
func (r *Router) forwardToOwner(ctx context.Context, owner string, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	home, ok := r.homes.FindInstance(owner)
	if !ok {
		return nil, result.New(result.TransactionLost, "instance %s is gone", owner)
	}
	defer r.addRemoteUnit(u.ID, remoteUnit{instance: home.ID, unitID: u.ID})()
	reply, err := r.sendUnit(ctx, home, u, partial)
	if errors.Is(err, peer.ErrNotSent) {
		return nil, result.New(result.TransactionLost, "instance %s does not answer", owner).WithCause(err)
	}
	if err != nil {
		return nil, forwardError(err)
	}
	return reply, nil
}

func (r *Router) sendUnit(ctx context.Context, home platform.Instance, u *execution.Unit, partial func([]byte) error) (*execution.Reply, error) {
	departure := execution.DepartureOf(ctx)
	id, ok := departure.Forward(r.departures.ids.Next, func(id string) { r.notifyInstance(home.ID, methodLeft, objectRef{Group: u.Group, ID: id}) })
	if !ok {
		return nil, r.metrics.countRefusal(u.Group, execution.ErrCallerLeft)
	}
	defer departure.Forwarded()
	u.DepartureID = id
	u.ReplyTo = r.peerAddress
	defer r.addPartialHandler(u.ID, partial)()
	ctx, cancel := context.WithTimeout(ctx, u.Timeout+forwardGrace)
	defer cancel()
	reply := new(execution.Reply)
	if err := r.peerClient.Call(ctx, home.PeerAddress, methodExecute, u, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// notifyInstance calls an instance without waiting for its answer.
func (r *Router) notifyInstance(instance, method string, ref objectRef) {
	to, ok := r.homes.FindInstance(instance)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_ = r.peerClient.Call(ctx, to.PeerAddress, method, ref, nil)
	}()
}

// serveExecute runs a unit for a peer. An instance that is not home to the unit's group refuses
// the unit and never forwards it, so that units cannot loop between instances.
func (r *Router) serveExecute(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	u := new(execution.Unit)
	if err := json.Unmarshal(params, u); err != nil {
		return nil, result.New(result.ProtocolViolation, "unit").WithCause(err)
	}
	if !r.beginPeerUnit(u) {
		return nil, result.New(result.Draining, "instance %s", r.selfID)
	}
	defer r.finishPeerUnit()
	// Chunks of the answer are not bounded otherwise: a peer that hangs accepts none of them and
	// keeps its connection open. It gives the unit up after the same time.
	ctx, cancel := context.WithTimeout(ctx, u.Timeout+forwardGrace)
	defer cancel()
	ctx, endDeparture := r.departures.begin(ctx, u.DepartureID, r.clock.Now())
	defer endDeparture()
	reply, err := r.executeForPeer(ctx, u)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil && reply.Transaction != "" {
		// The peer is lost or has given the unit up, so no caller learns that the transaction is open.
		r.AbandonTransaction(u.Group, reply.Transaction)
	}
	return reply, nil
}

// executeForPeer runs a unit for a peer until InterruptUnits ends it. An answer that a member has
// given is passed on all the same.
func (r *Router) executeForPeer(ctx context.Context, u *execution.Unit) (*execution.Reply, error) {
	partial := r.partialSender(ctx, u)
	ctx, cancel := r.withInterrupt(ctx)
	defer cancel()
	if u.Transaction != "" {
		return r.executeInTransaction(ctx, u, partial)
	}
	g := r.acquireGroup(u.Group)
	if g == nil {
		return nil, result.New(result.NotReady, "this instance is not home to group %s", u.Group)
	}
	defer g.finishUnit()
	start := r.clock.Now()
	reply, err := r.executeAtHome(ctx, g, u, partial)
	if err == nil {
		r.reportHome(g, u, reply, start)
		r.reportLoad(g, u, reply, start)
	}
	return reply, r.interruptError(err)
}

// withInterrupt returns a context that also ends when InterruptUnits is called.
func (r *Router) withInterrupt(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.interrupted, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// interruptError returns the error for a peer whose unit failed with err. A unit that did not run
// because units were interrupted is refused as draining, so that the peer tries another home.
func (r *Router) interruptError(err error) error {
	e, ok := result.As(err)
	if r.interrupted.Err() == nil || !ok || e.Code.Family() != result.FamilyDidNotRun {
		return err
	}
	return result.New(result.Draining, "instance %s", r.selfID).WithCause(err)
}

// partialSender returns a function that sends answer chunks to the entry instance. Each chunk
// waits until the previous one was accepted, which bounds the data in flight.
func (r *Router) partialSender(ctx context.Context, u *execution.Unit) func([]byte) error {
	return func(bytes []byte) error {
		return r.peerClient.Call(ctx, u.ReplyTo, methodPartial, answerChunk{ID: u.ID, Bytes: bytes}, nil)
	}
}

func (r *Router) servePartial(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var p answerChunk
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	h := r.acquirePartialHandler(p.ID)
	if h == nil {
		return nil, result.New(result.AnswerCutShort, "the unit is no longer waited for")
	}
	defer h.running.Done()
	return nil, h.pass(p.Bytes)
}

func (r *Router) serveAbandon(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ref objectRef
	if err := json.Unmarshal(params, &ref); err != nil {
		return nil, err
	}
	r.AbandonTransaction(ref.Group, ref.ID)
	return nil, nil
}

func (r *Router) serveCancel(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var ref objectRef
	if err := json.Unmarshal(params, &ref); err != nil {
		return nil, err
	}
	if g := r.LocalGroup(ref.Group); g != nil {
		g.CancelUnit(ref.Group, ref.ID)
	}
	return nil, nil
}
