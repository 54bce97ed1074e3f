package failover

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/clock"
	"github.com/topazrock/topazrock/internal/memberhealth"
	"github.com/topazrock/topazrock/internal/peer"
	"github.com/topazrock/topazrock/internal/platform"
)

// MethodWitness is the peer method that answers a WitnessRequest with a WitnessReport.
const MethodWitness = "failover.testify"

// witnessesPerDomain is how many instances of each failure domain are queried. It is
// two because one of them may be dead and still in the list.
const witnessesPerDomain = 2

// PeerWitness implements Witness over peer connections.
type PeerWitness struct {
	caller    peer.Caller
	instances func() []platform.Instance
	self      platform.Instance

	mu   sync.Mutex // guards rand
	rand *rand.Rand
}

// NewPeerWitness returns a Witness that queries instances outside the failure domain
// of self. The Witness serializes its use of r, so r must not be shared.
func NewPeerWitness(c peer.Caller, self platform.Instance, instances func() []platform.Instance, r *rand.Rand) *PeerWitness {
	return &PeerWitness{caller: c, self: self, instances: instances, rand: r}
}

// Query implements Witness. It returns when ctx ends even if a call does not: a
// call may queue behind another one's dial to a peer that is cut off, and failover
// must not wait for that.
func (w *PeerWitness) Query(ctx context.Context, request WitnessRequest) []WitnessReport {
	peers := w.choosePeers()
	reports := make(chan WitnessReport, len(peers))
	for _, i := range peers {
		go func() { reports <- w.queryPeer(ctx, i, request) }()
	}
	var all []WitnessReport
	for range peers {
		select {
		case report := <-reports:
			all = append(all, report)
		case <-ctx.Done():
			return all
		}
	}
	return all
}

// queryPeer returns the report of a peer, or PrimaryUnknown if the call fails.
func (w *PeerWitness) queryPeer(ctx context.Context, i platform.Instance, request WitnessRequest) WitnessReport {
	var report WitnessReport
	if err := w.caller.Call(ctx, i.PeerAddress, MethodWitness, request, &report); err != nil {
		return WitnessReport{FailureDomain: i.FailureDomain, Primary: PrimaryUnknown}
	}
	report.FailureDomain = i.FailureDomain
	return report
}

// choosePeers picks up to witnessesPerDomain instances of every other failure domain.
func (w *PeerWitness) choosePeers() []platform.Instance {
	instances := w.instances()
	w.mu.Lock()
	order := w.rand.Perm(len(instances))
	w.mu.Unlock()
	// The own domain counts as complete, so that none of its instances is chosen.
	chosenPerDomain := map[string]int{w.self.FailureDomain: witnessesPerDomain}
	var chosen []platform.Instance
	for _, k := range order {
		i := instances[k]
		if chosenPerDomain[i.FailureDomain] < witnessesPerDomain {
			chosenPerDomain[i.FailureDomain]++
			chosen = append(chosen, i)
		}
	}
	return chosen
}

// RegisterWitnessHandler registers the handler of MethodWitness, which answers from the views of
// this instance. views returns false for a group that this instance does not follow, and work
// returns nil for one whose members' work it does not follow.
func RegisterWitnessHandler(r peer.HandlerRegistry, c clock.Clock, detect time.Duration, views func(group string) (View, bool), work func(group string) memberhealth.WorkView) {
	r.Handle(MethodWitness, func(ctx context.Context, _ string, params json.RawMessage) (any, error) {
		var request WitnessRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, fmt.Errorf("failover: question: %w", err)
		}
		v, ok := views(request.Group)
		if !ok {
			return WitnessReport{Primary: PrimaryUnknown}, nil
		}
		report := WitnessReport{Primary: observePrimary(ctx, c, v, request, detect)}
		if w := work(request.Group); request.Work && w != nil {
			report.Work = reportWork(c.Now(), v.Snapshot(), w)
		}
		return report, nil
	})
}
