package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/topazrock/topazrock/internal/objectwatch"
	"github.com/topazrock/topazrock/internal/platform"
)

const (
	// methodProbeDomain asks an instance of another failure domain whether it is there, and
	// methodCheckReach an instance of the own one to look at once what it reaches.
	methodProbeDomain = "instance.far"
	methodCheckReach  = "instance.look"
	// domainProbeDuty is the key by which the instances are picked that ask other failure domains,
	// and probersPerDomain how many of each do: two, because one of them may be dead and listed.
	domainProbeDuty  = "instance.far"
	probersPerDomain = 2
	// domainProbeInterval is the time between two questions to a failure domain, and domainProbeTimeout
	// bounds an answer: many times that of an instance that is short of processor time.
	domainProbeInterval = 80 * time.Millisecond
	domainProbeTimeout  = time.Second
	// checkReachTimeout bounds the call that asks an instance to look.
	checkReachTimeout = 200 * time.Millisecond
	// minReachCheckInterval is the least time between two such looks. Each costs a question to every
	// member of the groups that an instance is home to.
	minReachCheckInterval = time.Second
)

// serveDomainProbes answers the questions of watchOtherDomains.
func (n *Instance) serveDomainProbes() {
	n.peers.Handle(methodProbeDomain, func(context.Context, string, json.RawMessage) (any, error) { return struct{}{}, nil })
	n.peers.Handle(methodCheckReach, func(context.Context, string, json.RawMessage) (any, error) {
		n.checkReachNow()
		return struct{}{}, nil
	})
}

// watchOtherDomains asks other failure domains whether they are there, as long as this instance has
// the duty, and has all instances of its own look when all others are silent, until ctx ends.
func (n *Instance) watchOtherDomains(ctx context.Context) {
	detector := newIsolationDetector()
	answers := make(chan string)
	ticker := n.options.Clock.NewTimer(domainProbeInterval)
	defer ticker.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case domain := <-answers:
			detector.recordAnswer(domain, n.options.Clock.Now())
		case <-ticker.C:
			ticker.Reset(domainProbeInterval)
			round++
			if !n.isDomainProber() {
				detector = newIsolationDetector()
				continue
			}
			n.probeOtherDomains(ctx, round, answers)
			if detector.detectIsolation(n.options.Clock.Now()) {
				n.options.Logger.Warn("No other failure domain answers.")
				n.requestReachChecks(ctx)
			}
		}
	}
}

// isDomainProber reports whether this instance has the duty.
func (n *Instance) isDomainProber() bool {
	_, self := objectwatch.OnDuty(n.members, domainProbeDuty, probersPerDomain)
	return self
}

// probeOtherDomains asks one instance of each other failure domain, another one each round, and passes
// on the failure domains that answer.
func (n *Instance) probeOtherDomains(ctx context.Context, round int, answers chan<- string) {
	byDomain := make(map[string][]platform.Instance)
	for _, i := range n.members.Pick(domainProbeDuty, probersPerDomain) {
		if i.FailureDomain != n.self().FailureDomain {
			byDomain[i.FailureDomain] = append(byDomain[i.FailureDomain], i)
		}
	}
	for domain, all := range byDomain {
		n.running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, domainProbeTimeout)
			defer cancel()
			if n.client.Call(bounded, all[round%len(all)].PeerAddress, methodProbeDomain, struct{}{}, nil) != nil {
				return
			}
			select {
			case answers <- domain:
			case <-ctx.Done():
			}
		})
	}
}

// requestReachChecks has all instances of the own failure domain look what they reach. Each decides by
// what it sees itself, so that one that is cut off alone takes nobody along.
func (n *Instance) requestReachChecks(ctx context.Context) {
	n.checkReachNow()
	for _, i := range n.members.Peers() {
		if i.FailureDomain != n.self().FailureDomain {
			continue
		}
		n.running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, checkReachTimeout)
			defer cancel()
			if err := n.client.Call(bounded, i.PeerAddress, methodCheckReach, struct{}{}, nil); err != nil {
				n.options.Logger.Debug("Instance was not told to look what it reaches.", "instance", i.ID, "error", err)
			}
		})
	}
}

// checkReachNow has all members asked at once that this instance follows, and then the homes
// that it asks what they reach.
func (n *Instance) checkReachNow() {
	now := n.options.Clock.Now()
	last := n.reachCheckedAt.Load()
	if last != nil && now.Sub(*last) < minReachCheckInterval || !n.reachCheckedAt.CompareAndSwap(last, &now) {
		return
	}
	for _, h := range n.homesCopy() {
		for _, m := range h.watcher.Snapshot().Members {
			// An open connection that is silent proves nothing; a new one that is does.
			h.watcher.ReportFailure(m.Address)
		}
	}
	for _, ch := range []chan struct{}{n.wakeReach, n.wakePeerReach} {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
