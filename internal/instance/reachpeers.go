package instance

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodReach asks a home in how many of its groups it reaches a majority.
	methodReach = "instance.reach"
	// peerReachInterval is the time between two polls of other homes. peerReachTimeout
	// bounds an answer; it is many times the time of a slow one inside a failure domain.
	peerReachInterval = 500 * time.Millisecond
	peerReachTimeout  = 200 * time.Millisecond
	// maxPolledHomes is the maximum number of homes polled: two, because one may be down.
	maxPolledHomes = 2
	// hintedPeerReachInterval is the time between two polls while a hint is valid.
	hintedPeerReachInterval = 50 * time.Millisecond
)

// reachCounts holds the number of groups, and how many of them are reached. A group is
// reached if a majority of its members answers.
type reachCounts struct {
	Groups  int `json:"groups"`
	Reached int `json:"reached"`
}

// addGroup counts one group.
func (r *reachCounts) addGroup(isReached bool) {
	r.Groups++
	if isReached {
		r.Reached++
	}
}

// plus returns the sum of both counts.
func (r reachCounts) plus(o reachCounts) reachCounts {
	return reachCounts{Groups: r.Groups + o.Groups, Reached: r.Reached + o.Reached}
}

// ownReach counts the groups that this instance is home to and those it reaches.
func (n *Instance) ownReach() reachCounts {
	var r reachCounts
	for _, h := range n.homesCopy() {
		r.addGroup(h.watcher.Snapshot().QuorumReachable())
	}
	return r
}

// serveReach registers the handler for instances that are home to few groups.
func (n *Instance) serveReach() {
	n.peers.Handle(methodReach, func(context.Context, string, json.RawMessage) (any, error) {
		return n.ownReach(), nil
	})
}

// peerReach holds what nearby homes reach. An instance that is home to no group probes no
// member, and could not detect by itself that its failure domain is cut off. It would stay
// ready, which would make the balancer send callers to all instances of the failure domain
// even though they are cut off. All requests would be refused until the cut heals.
type peerReach struct {
	mu  sync.Mutex
	sum reachCounts
}

func (p *peerReach) set(r reachCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sum = r
}

func (p *peerReach) get() reachCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum
}

// pollPeerReach asks nearby homes what they reach while this instance is home to less than
// half of the groups, until ctx ends.
func (n *Instance) pollPeerReach(ctx context.Context, p *peerReach) {
	var hintedAt time.Time
	for {
		interval := peerReachInterval
		if n.options.Clock.Now().Sub(hintedAt) < hintValidity {
			interval = hintedPeerReachInterval
		}
		woken, err := n.sleepOrWake(ctx, interval, n.wakePeerReach)
		if err != nil {
			return
		}
		if woken {
			hintedAt = n.options.Clock.Now()
			continue
		}
		var sum reachCounts
		if 2*len(n.homesCopy()) < len(n.documents.Groups()) {
			sum = n.pollHomes(ctx, n.homesToPoll())
		}
		p.set(sum)
	}
}

// homesToPoll returns the nearest home of each group that this instance is not home to, at
// most maxPolledHomes in total. Homes in its own failure domain are the nearest.
func (n *Instance) homesToPoll() []platform.Instance {
	var chosen []platform.Instance
	seen := make(map[string]bool)
	for _, g := range n.documents.Groups() {
		homes := n.members.Homes(g.Name)
		if len(homes) == 0 || homes[0].ID == n.self().ID || seen[homes[0].ID] {
			continue
		}
		seen[homes[0].ID] = true
		chosen = append(chosen, homes[0])
		if len(chosen) == maxPolledHomes {
			break
		}
	}
	return chosen
}

// pollHomes returns the sum of the homes' counts. A home that does not answer counts as one
// group that is not reached.
func (n *Instance) pollHomes(ctx context.Context, homes []platform.Instance) reachCounts {
	ctx, cancel := context.WithTimeout(ctx, peerReachTimeout)
	defer cancel()
	answers := make(chan reachCounts, len(homes))
	for _, home := range homes {
		go func() {
			counts := reachCounts{Groups: 1}
			if err := n.client.Call(ctx, home.PeerAddress, methodReach, struct{}{}, &counts); err != nil {
				counts = reachCounts{Groups: 1}
			}
			answers <- counts
		}()
	}
	var sum reachCounts
	for range homes {
		sum = sum.plus(<-answers)
	}
	return sum
}
