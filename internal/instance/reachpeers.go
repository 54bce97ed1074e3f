package instance

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodReach asks a home how many of its groups it reaches.
	methodReach = "instance.reach"
	// reachAskInterval is the time between two such questions, and reachAskTimeout
	// bounds an answer, many times a slow one inside a failure domain.
	reachAskInterval = 500 * time.Millisecond
	reachAskTimeout  = 200 * time.Millisecond
	// reachAsked is how many homes are asked: two, because one may be down.
	reachAsked = 2
	// hintedAskInterval is the time between two questions as long as a hint counts.
	hintedAskInterval = 50 * time.Millisecond
)

// reached is how many groups there are, and how many are reached by a majority.
type reached struct {
	Groups  int `json:"groups"`
	Reached int `json:"reached"`
}

// add counts one group.
func (r *reached) add(isReached bool) {
	r.Groups++
	if isReached {
		r.Reached++
	}
}

// plus returns the sum of both.
func (r reached) plus(o reached) reached {
	return reached{Groups: r.Groups + o.Groups, Reached: r.Reached + o.Reached}
}

// ownReach is what this instance reaches by itself.
func (n *Instance) ownReach() reached {
	var r reached
	for _, h := range n.homesCopy() {
		r.add(h.watcher.Snapshot().MajorityAnswers())
	}
	return r
}

// serveReach answers instances that are home to few groups.
func (n *Instance) serveReach() {
	n.peers.Handle(methodReach, func(context.Context, string, json.RawMessage) (any, error) {
		return n.ownReach(), nil
	})
}

// peersReach keeps what the homes near this instance reach. An instance that is home to
// no group sees no member, and so would never know that its failure domain is cut off:
// it stayed ready, the balancer then sent callers to all instances of the domain, cut
// off as they were, and all their requests were refused until the cut healed.
type peersReach struct {
	mu  sync.Mutex
	sum reached
}

func (p *peersReach) set(r reached) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sum = r
}

func (p *peersReach) get() reached {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum
}

// askReach asks homes near this instance what they reach, as long as it is home to less
// than half of the groups, until ctx ends.
func (n *Instance) askReach(ctx context.Context, p *peersReach) {
	var hinted time.Time
	for {
		interval := reachAskInterval
		if n.options.Clock.Now().Sub(hinted) < hintCounts {
			interval = hintedAskInterval
		}
		woken, err := n.sleepOr(ctx, interval, n.lookPeers)
		if err != nil {
			return
		}
		if woken {
			hinted = n.options.Clock.Now()
			continue
		}
		var sum reached
		if 2*len(n.homesCopy()) < len(n.documents.Groups()) {
			sum = n.askHomes(ctx, n.homesToAsk())
		}
		p.set(sum)
	}
}

// homesToAsk returns the nearest homes of the groups that this instance is not home to,
// those of its own failure domain where there are any.
func (n *Instance) homesToAsk() []platform.Instance {
	var chosen []platform.Instance
	taken := make(map[string]bool)
	for _, g := range n.documents.Groups() {
		homes := n.members.Homes(g.Name)
		if len(homes) == 0 || homes[0].ID == n.self().ID || taken[homes[0].ID] {
			continue
		}
		taken[homes[0].ID] = true
		chosen = append(chosen, homes[0])
		if len(chosen) == reachAsked {
			break
		}
	}
	return chosen
}

// askHomes sums up what homes reach. One that does not answer counts as a group that is
// not reached.
func (n *Instance) askHomes(ctx context.Context, homes []platform.Instance) reached {
	ctx, cancel := context.WithTimeout(ctx, reachAskTimeout)
	defer cancel()
	answers := make(chan reached, len(homes))
	for _, home := range homes {
		go func() {
			told := reached{Groups: 1}
			if err := n.client.Call(ctx, home.PeerAddress, methodReach, struct{}{}, &told); err != nil {
				told = reached{Groups: 1}
			}
			answers <- told
		}()
	}
	var sum reached
	for range homes {
		sum = sum.plus(<-answers)
	}
	return sum
}
