package instance

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// minOwnGroups is the number of groups whose reachability shows whether this instance is cut
	// off: the loss of one group's members is not taken for a cut.
	minOwnGroups = 3
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

// needsPeerReach reports whether an instance that is home to some of the groups has too little
// evidence of its own. In a fleet with many groups no instance is home to a considerable part of
// them; if all asked others for that reason, these calls would be most of what an instance does.
func needsPeerReach(homes, groups int) bool { return homes < minOwnGroups && 2*homes < groups }

// pollPeerReach asks nearby homes what they reach while this instance needs it, until ctx ends.
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
		if needsPeerReach(len(n.homesCopy()), len(n.documents.Groups())) {
			sum = n.pollHomes(ctx, n.homesToPoll())
		}
		p.set(sum)
	}
}

// homesToPoll returns homes of groups that this instance is not home to, at most maxPolledHomes in
// total. Homes in its own failure domain are preferred. Others are of different failure domains, so
// that the loss of one domain does not look like the loss of this one.
func (n *Instance) homesToPoll() []platform.Instance {
	var chosen []platform.Instance
	for _, group := range pollCandidates(n.self().ID, n.documents.Groups()) {
		homes := n.members.Homes(group)
		if len(homes) == 0 || homes[0].ID == n.self().ID {
			continue
		}
		home := homes[0]
		if home.FailureDomain != n.self().FailureDomain {
			home = otherDomainHome(homes, chosen)
		}
		if home.ID == "" || slices.ContainsFunc(chosen, func(c platform.Instance) bool { return c.ID == home.ID }) {
			continue
		}
		chosen = append(chosen, home)
		if len(chosen) == maxPolledHomes {
			break
		}
	}
	return chosen
}

// otherDomainHome returns the first of the homes whose failure domain none of the chosen ones is in,
// or the zero value.
func otherDomainHome(homes, chosen []platform.Instance) platform.Instance {
	for _, home := range homes {
		if !slices.ContainsFunc(chosen, func(c platform.Instance) bool { return c.FailureDomain == home.FailureDomain }) {
			return home
		}
	}
	return platform.Instance{}
}

// maxPollCandidates is the number of groups from whose homes the polled ones are chosen.
const maxPollCandidates = 8

// pollCandidates returns the names of some groups. They differ from instance to instance and stay the
// same for one, which thus keeps connections to few homes.
func pollCandidates(self string, groups []VersionedGroup) []string {
	type candidate struct {
		name string
		rank uint64
	}
	byRank := func(a, b candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name)) }
	var list []candidate
	for _, g := range groups {
		c := candidate{g.Name, xxhash.Sum64String(self + "\x00" + g.Name)}
		at, _ := slices.BinarySearchFunc(list, c, byRank)
		if at < maxPollCandidates {
			list = slices.Insert(list, at, c)
			list = list[:min(len(list), maxPollCandidates)]
		}
	}
	var names []string
	for _, c := range list {
		names = append(names, c.name)
	}
	return names
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
