package failover

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// MethodWitness is the peer method that answers a Question with a WitnessReport.
const MethodWitness = "failover.testify"

// askedPerDomain is how many instances of each failure domain are asked. Two,
// because one of them may be dead and still in the list.
const askedPerDomain = 2

// PeerWitness implements Witness over peer connections.
type PeerWitness struct {
	caller    peer.Caller
	instances func() []platform.Instance
	self      platform.Instance

	mu   sync.Mutex // guards rand
	rand *rand.Rand
}

// NewPeerWitness returns a Witness that asks instances of other failure domains
// than that of self. It guards rand, which nothing else may use.
func NewPeerWitness(c peer.Caller, self platform.Instance, instances func() []platform.Instance, r *rand.Rand) *PeerWitness {
	return &PeerWitness{caller: c, self: self, instances: instances, rand: r}
}

// Ask implements Witness. It returns when ctx ends even if a call does not: a
// call may queue behind another one's dial to a peer that is cut off, and the
// failover must not wait for that.
func (w *PeerWitness) Ask(ctx context.Context, q Question) []WitnessReport {
	asked := w.choose()
	answers := make(chan WitnessReport, len(asked))
	for _, i := range asked {
		go func() { answers <- w.askOne(ctx, i, q) }()
	}
	var all []WitnessReport
	for range asked {
		select {
		case t := <-answers:
			all = append(all, t)
		case <-ctx.Done():
			return all
		}
	}
	return all
}

// askOne returns no opinion for a peer that does not answer.
func (w *PeerWitness) askOne(ctx context.Context, i platform.Instance, q Question) WitnessReport {
	var t WitnessReport
	if err := w.caller.Call(ctx, i.PeerAddress, MethodWitness, q, &t); err != nil {
		return WitnessReport{FailureDomain: i.FailureDomain, Opinion: OpinionNone}
	}
	t.FailureDomain = i.FailureDomain
	return t
}

// choose picks up to askedPerDomain instances of every other failure domain.
func (w *PeerWitness) choose() []platform.Instance {
	instances := w.instances()
	w.mu.Lock()
	order := w.rand.Perm(len(instances))
	w.mu.Unlock()
	taken := map[string]int{w.self.FailureDomain: askedPerDomain}
	var chosen []platform.Instance
	for _, k := range order {
		i := instances[k]
		if taken[i.FailureDomain] < askedPerDomain {
			taken[i.FailureDomain]++
			chosen = append(chosen, i)
		}
	}
	return chosen
}

// ServeWitness answers the questions of peers from the views of this
// instance; views returns false for a group that it does not follow.
func ServeWitness(r peer.Registry, c clock.Clock, detect time.Duration, views func(group string) (View, bool)) {
	r.Handle(MethodWitness, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var q Question
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, fmt.Errorf("failover: question: %w", err)
		}
		v, ok := views(q.Group)
		if !ok {
			return WitnessReport{Opinion: OpinionNone}, nil
		}
		return WitnessReport{Opinion: witnessOpinion(ctx, c, v, q, detect)}, nil
	})
}
