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
	// peerReachInterval is the time between two such questions, and peerReachTimeout
	// bounds an answer, many times a slow one inside a failure domain.
	peerReachInterval = 500 * time.Millisecond
	peerReachTimeout  = 200 * time.Millisecond
	// maxPolledHomes is how many homes are asked: two, because one may be down.
	maxPolledHomes = 2
	// hintedPeerReachInterval is the time between two questions as long as a hint counts.
	hintedPeerReachInterval = 50 * time.Millisecond
)

// reached is how many groups there are, and how many are reached by a majority.
type reachCounts struct {
	Groups  int `json:"groups"`
	Reached int `json:"reached"`
}

// add counts one group.
func (r *reachCounts) addGroup(isReached bool) {
	r.Groups++
	if isReached {
		r.Reached++
	}
}

// plus returns the sum of both.
func (r reachCounts) plus(o reachCounts) reachCounts {
	return reachCounts{Groups: r.Groups + o.Groups, Reached: r.Reached + o.Reached}
}

// ownReach is what this instance reaches by itself.
func (n *Instance) ownReach() reachCounts {
	var r reachCounts
	for _, h := range n.homesCopy() {
		r.addGroup(h.watcher.Snapshot().MajorityAnswers())
	}
	return r
}

// serveReach answers instances that are home to few groups.
func (n *Instance) serveReach() {
	n.peers.Handle(methodReach, func(context.Context, string, json.RawMessage) (any, error) {
		return n.ownReach(), nil
	})
}

// peerReach keeps what the homes near this instance reach. An instance that is home to
// no group sees no member, and so would never know that its failure domain is cut off:
// it stayed ready, the balancer then sent callers to all instances of the domain, cut
// off as they were, and all their requests were refused until the cut healed.
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

// pollPeerReach asks homes near this instance what they reach, as long as it is home to less
// than half of the groups, until ctx ends.
func (n *Instance) pollPeerReach(ctx context.Context, p *peerReach) {
	var hinted time.Time
	for {
		interval := peerReachInterval
		if n.options.Clock.Now().Sub(hinted) < hintValidity {
			interval = hintedPeerReachInterval
		}
		woken, err := n.sleepOrWake(ctx, interval, n.wakePeerReach)
		if err != nil {
			return
		}
		if woken {
			hinted = n.options.Clock.Now()
			continue
		}
		var sum reachCounts
		if 2*len(n.homesCopy()) < len(n.documents.Groups()) {
			sum = n.pollHomes(ctx, n.homesToPoll())
		}
		p.set(sum)
	}
}

// homesToPoll returns the nearest homes of the groups that this instance is not home to,
// those of its own failure domain where there are any.
func (n *Instance) homesToPoll() []platform.Instance {
	var chosen []platform.Instance
	taken := make(map[string]bool)
	for _, g := range n.documents.Groups() {
		homes := n.members.Homes(g.Name)
		if len(homes) == 0 || homes[0].ID == n.self().ID || taken[homes[0].ID] {
			continue
		}
		taken[homes[0].ID] = true
		chosen = append(chosen, homes[0])
		if len(chosen) == maxPolledHomes {
			break
		}
	}
	return chosen
}

// pollHomes sums up what homes reach. One that does not answer counts as a group that is
// not reached.
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
